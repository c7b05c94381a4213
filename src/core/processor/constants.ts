/** Time between two checks of how late the event loop is, in milliseconds. */
export const checkIntervalMs = 100

/** Time over which the utilization of the event loop is averaged for metrics and log lines, in milliseconds. */
export const reportIntervalMs = 1000

/** Utilization of the event loop in a second from which a line says so. */
export const loggedUtilization = 0.8
