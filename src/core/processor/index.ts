export { createProcessorMeter, loopBusyMs } from './meter.ts'
export type { ProcessorMeter, ProcessorMeterOptions, ProcessorReading } from './meter.ts'
