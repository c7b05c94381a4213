/** Template document of the demonstration, a seed potato franchise. */
export const template = {
  routes: [
    { name: 'tray-status', method: 'GET', path: '/trays/:id', service: 'chitwatch', priority: 'critical' },
    { name: 'lot', method: 'GET', path: '/lots/:id', service: 'chitwatch' },
    { name: 'order', method: 'POST', path: '/orders', service: 'orderdesk', priority: 'high' },
    { name: 'transfer', method: 'POST', path: '/transfers', service: 'depotledger', priority: 'high' },
    { name: 'slot', method: 'GET', path: '/slots/:id', service: 'depotledger' },
    { name: 'manual', method: 'GET', path: '/manuals/:id', service: 'traylib', priority: 'low' },
    { name: 'guide', method: 'GET', path: '/guides/:id', service: 'traylib', priority: 'low', open: true }
  ],
  parameters: { rate: { default: 50, min: 1, max: 1000 }, burst: { default: 100, min: 1, max: 1000 } }
}

/** Returns the document of a demonstration workspace with a rate limit in requests per second. */
export function createWorkspaceDocument (rate: number): unknown {
  return { template: 'franchise', parameters: { rate, burst: 100 } }
}
