/** A fault that is planted to show that the soak finds it. */
export interface Plant {
  name: string
  /** What is wrong, as an operator would put it. */
  description: string
  file: string
  /** Text that occurs once in the file, and what replaces it. */
  find: string
  replace: string
}

/** Faults that the soak is to find, one at a time. docs/operators/soak.md says which seed found each. */
export const plants: readonly Plant[] = [
  {
    name: 'not-run-untrue',
    description: 'a request that broke off on its way is refused as not run, although the target may have run it',
    file: 'src/core/node/exchange.ts',
    find: '      written = true\n',
    replace: ''
  },
  {
    name: 'no-claims',
    description: 'requests that may run once are run without a claim',
    file: 'src/core/node/serve.ts',
    find: 'return call.context.needsClaim ? await claimAndRun(call, sink) : await run(call, sink, undefined)',
    replace: 'return await run(call, sink, undefined)'
  },
  {
    name: 'stop-at-once',
    description: 'a planned stop does not wait for requests in progress',
    file: 'src/core/node/node.ts',
    find: '      await pause(Math.min(servesUntil, endsAt) - clock.now())\n      await waitUntilIdle(endsAt)\n',
    replace: '      await Promise.race([pause(0), waitUntilIdle(endsAt)])\n'
  },
  {
    name: 'error-ends-process',
    description: 'an error of a connection between nodes ends the process',
    file: 'src/core/channel/session.ts',
    find: '    socket.on(\'error\', () => detach(socket))\n',
    replace: '    socket.on(\'error\', (error) => { throw error })\n'
  },
  {
    name: 'key-passed-on',
    description: 'targets receive the keys of callers',
    file: 'src/core/node/headers.ts',
    find: 'const credentialHeaders = new Set([\'authorization\', \'cookie\'])',
    replace: 'const credentialHeaders = new Set([\'cookie\'])'
  },
  {
    name: 'no-election',
    description: 'no leader is elected after one was lost',
    file: 'src/core/consensus/core.ts',
    find: '  if (now < state.electionDueAt || !voters(state).includes(state.id)) return\n',
    replace: '  if (now < state.electionDueAt || state.hardState.term > 0 || !voters(state).includes(state.id)) return\n'
  }
]
