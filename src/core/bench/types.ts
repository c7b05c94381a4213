/** Load, targets and disturbances of one scenario. */
export interface Scenario {
  name: string
  /** Length of the run in ms of virtual time. */
  durationMs: number
  /** The disturbance lasts from `fromMs` to `untilMs`. */
  fromMs: number
  untilMs: number
  /** Services in the order in which they call each other. */
  chain: string[]
  /** Factor on the normal request rate of workspace `index` at a time. */
  demand: (index: number, now: number, disturbed: boolean, deployment: Deployment) => number
  /** Factor on the working time of a service. */
  slowness: (service: string, disturbed: boolean) => number
  /** Retries of a caller whose request failed, and the mean delay before each in ms. */
  callerRetries: number
  callerRetryDelayMs: number
  /** Interval in ms at which a target, round robin, is replaced by one that runs its cold start. */
  replaceEveryMs?: number
  /** Burst of a workspace in seconds of its rate. */
  burstSeconds: number
  /** True when a caller sends requests that crash the target that runs them. */
  crashCausingRequests?: boolean
  /** True when targets report wrong health during the disturbance. */
  wrongHealthReports?: boolean
}

/** Sizes of one deployment. */
export interface Deployment {
  name: 'mamxanh' | 'haelvaerk'
  domains: string[]
  /** Targets of each service. */
  servers: number
  /** Slots of each target: of all services but the deepest, and of the deepest. */
  slots: number
  deepSlots: number
  /** One-way latency between failure domains and to clients, in ms. */
  domainMs: number
  clientMs: number
  workspaces: number
  /** Number of workspaces that send several times as many requests as the others. */
  largeWorkspaces: number
}

/** How requests are handled: without protection, with fixed limits, or by the decision modules of the call path. */
export type Variant = 'none' | 'fixed' | 'product'

/** Results of one run, printed under these names. */
export interface Figures {
  scenario: string
  deployment: string
  variant: Variant
  seed: number
  clock: 'virtual'
  goodput: number
  important: number
  recoveryMs: number
  worstWorkspace: number
  refusedInRate: number
  extraAttemptsMax: number
  targetsLost: number
}
