/** One entry of the error catalogue. */
export interface CatalogueEntry<Details> {
  /** Stable code that callers and scripts receive. */
  name: string
  /** Short title for display. */
  title: string
  /** HTTP status of a response with this error. */
  status: number
  /** Builds the message from its details. */
  message: (details: Details) => string
  /** What the caller or the operator can do about the error. */
  hint: string
}

function defineEntry<Details = void> (value: CatalogueEntry<Details>): CatalogueEntry<Details> {
  return value
}

/** All errors that cross a process boundary. Codes never change once released. */
export const catalogue = {
  invalidSetting: defineEntry<{ flag: string, value: string, allowed: string }>({
    name: 'invalid_setting',
    title: 'Invalid setting',
    status: 400,
    message: ({ flag, value, allowed }) => `${flag} is ${JSON.stringify(value)}; allowed: ${allowed}`,
    hint: 'See --help for units, defaults and environment variables.'
  }),
  invalidChange: defineEntry<{ reason: string }>({
    name: 'invalid_change',
    title: 'Invalid change',
    status: 400,
    message: ({ reason }) => `the change was refused: ${reason}`,
    hint: 'Correct the document and send it under a new change id.'
  }),
  conflict: defineEntry<{ item: string, expected: number, found: number, winner: string }>({
    name: 'conflict',
    title: 'Revision conflict',
    status: 409,
    message: ({ item, expected, found, winner }) =>
      `${item} is at revision ${found}, not at ${expected}; it was last changed by ${winner}`,
    hint: 'Read the item again, then repeat the change on top of it.'
  }),
  changeIdReused: defineEntry<{ changeId: string }>({
    name: 'change_id_reused',
    title: 'Change id reused',
    status: 409,
    message: ({ changeId }) => `change id ${JSON.stringify(changeId)} was used for another change`,
    hint: 'Use a new change id for every new change.'
  }),
  notFound: defineEntry<{ item: string }>({
    name: 'not_found',
    title: 'Not found',
    status: 404,
    message: ({ item }) => `${item} does not exist`,
    hint: 'List the existing items first.'
  }),
  unauthorized: defineEntry<{ reason: string }>({
    name: 'unauthorized',
    title: 'Unauthorized',
    status: 401,
    message: ({ reason }) => reason,
    hint: 'Send a valid key as "Authorization: Bearer KEY".'
  }),
  forbidden: defineEntry<{ scope: string }>({
    name: 'forbidden',
    title: 'Forbidden',
    status: 403,
    message: ({ scope }) => `this credential lacks the scope ${JSON.stringify(scope)}`,
    hint: 'Use a credential that has the scope.'
  }),
  noLeader: defineEntry<{ reason: string }>({
    name: 'no_leader',
    title: 'No leader',
    status: 503,
    message: ({ reason }) => `no control instance can accept the change: ${reason}`,
    hint: 'Send the change again with the same change id.'
  }),
  outcomeUnknown: defineEntry<{ reason: string }>({
    name: 'outcome_unknown',
    title: 'Outcome unknown',
    status: 504,
    message: ({ reason }) => `the change may or may not be accepted: ${reason}`,
    hint: 'Send the change again with the same change id; it is applied once.'
  }),
  corruptData: defineEntry<{ file: string, offset: number, reason: string }>({
    name: 'corrupt_data',
    title: 'Corrupt data',
    status: 500,
    message: ({ file, offset, reason }) => `${file} is corrupt at byte ${offset}: ${reason}`,
    hint: 'Restore the file, or replace the instance as docs/operators/control.md describes.'
  }),
  dataFolderLocked: defineEntry<{ folder: string, pid: string }>({
    name: 'data_folder_locked',
    title: 'Data folder locked',
    status: 500,
    message: ({ folder, pid }) => `${folder} is in use by process ${pid}`,
    hint: 'Stop the other process, or choose another folder.'
  }),
  unknownRoute: defineEntry<{ method: string, path: string }>({
    name: 'unknown_route',
    title: 'Unknown route',
    status: 404,
    message: ({ method, path }) => `no route matches ${method} ${path}`,
    hint: 'Routes come from the template of the workspace.'
  }),
  noDeployment: defineEntry({
    name: 'no_deployment',
    title: 'No deployment',
    status: 503,
    message: () => 'this node has not received a configuration yet',
    hint: 'Send again in a moment; if it lasts, see whether the control group has a leader.'
  }),
  nodeUnreachable: defineEntry<{ address: string, reason: string }>({
    name: 'node_unreachable',
    title: 'Node unreachable',
    status: 504,
    message: ({ address, reason }) => `no answer from the node at ${address}: ${reason}`,
    hint: 'Give the address that the node prints as "local" at its start, from a machine that reaches it.'
  }),
  notExecuted: defineEntry<{ status: number }>({
    name: 'not_executed',
    title: 'Not executed',
    status: 503,
    message: ({ status }) => `the target turned the request away with status ${status}, without running it`,
    hint: 'Send again after the time in Retry-After.'
  }),
  noAnswerRoom: defineEntry({
    name: 'no_answer_room',
    title: 'No room for the answer',
    status: 503,
    message: () => 'other large answers wait for their readers',
    hint: 'Send the call again after the time in Retry-After.'
  }),
  badRequest: defineEntry<{ reason: string }>({
    name: 'bad_request',
    title: 'Bad request',
    status: 400,
    message: ({ reason }) => reason,
    hint: 'Correct the request.'
  }),
  bodyTooLarge: defineEntry<{ limit: number }>({
    name: 'body_too_large',
    title: 'Body too large',
    status: 413,
    message: ({ limit }) => `the request body is larger than ${limit} bytes`,
    hint: 'Send a smaller body.'
  }),
  noBodyRoom: defineEntry({
    name: 'no_body_room',
    title: 'No room for the body',
    status: 503,
    message: () => 'the node holds as many large request bodies as fit its memory',
    hint: 'Send again after the time in Retry-After.'
  }),
  stale: defineEntry<{ ageMs: number }>({
    name: 'stale_configuration',
    title: 'Stale configuration',
    status: 503,
    message: ({ ageMs }) => `this node has not heard of a control quorum for ${ageMs} ms`,
    hint: 'Try another node; routes open to all still work here.'
  }),
  overRate: defineEntry<{ workspace: string }>({
    name: 'over_rate',
    title: 'Over rate',
    status: 429,
    message: ({ workspace }) => `workspace ${workspace} is over its rate`,
    hint: 'Send again after the time in Retry-After.'
  }),
  overloaded: defineEntry<{ service: string, reason: string }>({
    name: 'overloaded',
    title: 'Overloaded',
    status: 503,
    message: ({ service, reason }) => `service ${service} is overloaded: ${reason}`,
    hint: 'Send again after the time in Retry-After.'
  }),
  noTarget: defineEntry<{ service: string }>({
    name: 'no_target',
    title: 'No target',
    status: 503,
    message: ({ service }) => `no target of service ${service} can be reached`,
    hint: 'Send again after the time in Retry-After.'
  }),
  leaving: defineEntry({
    name: 'leaving',
    title: 'Leaving',
    status: 503,
    message: () => 'this node is shutting down',
    hint: 'Send again to another node.'
  }),
  deadline: defineEntry<{ stage: string }>({
    name: 'deadline_exceeded',
    title: 'Deadline exceeded',
    status: 504,
    message: ({ stage }) => `the deadline passed ${stage}`,
    hint: 'Send again later.'
  }),
  quarantined: defineEntry<{ until: string }>({
    name: 'quarantined',
    title: 'Quarantined',
    status: 503,
    message: ({ until }) => `requests like this one ended several targets; refused until ${until}`,
    hint: 'An operator can release it with "dogwoodspring quarantine release".'
  }),
  unknownOutcome: defineEntry<{ reason: string }>({
    name: 'unknown_outcome',
    title: 'Unknown outcome',
    status: 504,
    message: ({ reason }) => `the request may have run: ${reason}`,
    hint: 'Send it again with the same Idempotency-Key; it runs at most once.'
  }),
  stillRunning: defineEntry({
    name: 'still_running',
    title: 'Still running',
    status: 409,
    message: () => 'the first request under this Idempotency-Key is still running',
    hint: 'Send it again with the same Idempotency-Key to get the answer.'
  }),
  answerNotKept: defineEntry<{ status: number }>({
    name: 'answer_not_kept',
    title: 'Answer not kept',
    status: 409,
    message: ({ status }) => `the request ran once with status ${status}; its answer was too large to keep`,
    hint: 'Read the result with a status request.'
  }),
  keyReused: defineEntry({
    name: 'idempotency_key_reused',
    title: 'Idempotency-Key reused',
    status: 422,
    message: () => 'this Idempotency-Key was used with another request',
    hint: 'Use a new Idempotency-Key for every new request.'
  }),
  claimUnavailable: defineEntry<{ reason: string }>({
    name: 'claim_unavailable',
    title: 'Claim unavailable',
    status: 503,
    message: ({ reason }) => `it cannot be certain that the request runs at most once: ${reason}`,
    hint: 'Send it again with the same Idempotency-Key.'
  }),
  brokenAnswer: defineEntry<{ reason: string }>({
    name: 'broken_answer',
    title: 'Broken answer',
    status: 502,
    message: ({ reason }) => `the target gave no whole answer: ${reason}`,
    hint: 'Idempotent requests can be sent again.'
  })
}

/** Names of the entries of the catalogue. */
export type FailureCode = keyof typeof catalogue
