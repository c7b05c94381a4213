export { createLoopLoad, recordLoopUse, statedLoopLoad } from './load.ts'
export type { LoopLoad } from './load.ts'
export { createProcessorMeter, loopBusyMs } from './meter.ts'
export type { ProcessorMeter, ProcessorMeterOptions, ProcessorReading } from './meter.ts'
