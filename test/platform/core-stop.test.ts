import assert from 'node:assert/strict'
import { test } from 'node:test'
import { configuration, createMachines, eventually } from './machines.ts'

test('orders that reach a control instance while it stops are acknowledged truly or get no acknowledgement, and it ends well', async () => {
  const machines = await createMachines()
  try {
    for (const number of [1, 2, 3]) machines.startCore(number, true)
    await eventually(async () => (await machines.replaceConfiguration(1, '0', configuration(3, 'shop'))).status === 200)
    let acknowledged = 3
    const statuses: number[] = []
    for (const number of [1, 2, 3]) {
      const ended = machines.kill(`core-${number}`, 'SIGTERM')
      let running = true
      void ended.then(() => void (running = false))
      let base = acknowledged
      const orders: Array<Promise<void>> = []
      while (running) {
        const version = Math.max(base, acknowledged) + 1
        base = version
        const from = acknowledged
        orders.push(machines.replaceConfiguration(number, `r${from}`, configuration(version, 'shop')).then(({ status }) => {
          statuses.push(status)
          if (status === 200) acknowledged = Math.max(acknowledged, version)
        }))
        orders.push(machines.readConfiguration(number).then(({ status }) => void statuses.push(status)))
        await new Promise((resolve) => setTimeout(resolve, 10))
      }
      assert.equal(await ended, 0, machines.logOf(`core-${number}`).slice(-2000))
      await Promise.all(orders)
      const other = number % 3 + 1
      machines.startCore(number, false)
      await eventually(async () => {
        const { status, text } = await machines.readConfiguration(other)
        return status === 200 && Number(/"version":"r(\d+)"/.exec(text)?.[1]) >= acknowledged
      })
      await eventually(async () => (await machines.readConfiguration(number)).status === 200)
    }
  } finally {
    await machines.stop()
  }
})
