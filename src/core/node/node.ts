import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { randomId } from '../auth/index.ts'
import { createClaimClient } from '../claims/client.ts'
import { createKnownShares } from '../admission/index.ts'
import type { Hash } from '../claims/index.ts'
import { serveClaims } from '../claims/service.ts'
import { closeServer, listen } from '../http/index.ts'
import { createRequestLog } from '../log/index.ts'
import { createPeers } from '../peers/index.ts'
import type { Environment } from '../peers/index.ts'
import { createRateClient } from '../rate/client.ts'
import { createMeter } from '../rate/index.ts'
import { createCaller } from './attempts.ts'
import type { Announcement } from './announcement.ts'
import { callerKeepAliveMs, contextHeader, leaveGraceMs, maxHeaderBytes, ownPathPrefix } from './constants.ts'
import { createCrashReporter } from './crashes.ts'
import { serveCaller } from './entry.ts'
import { createDependencies } from './dependencies.ts'
import { ownDialect } from './dialect.ts'
import type { Dialect } from './dialect.ts'
import { createForwarder } from './forward.ts'
import { createDirectory } from './identity.ts'
import { createLocalHandler } from './local.ts'
import { serveOutgoing } from './outgoing.ts'
import { servePeerCalls } from './peer-calls.ts'
import { createRefusals } from './refusals.ts'
import { createKeyCheck } from './key-check.ts'
import { createCallServer } from './serve.ts'
import { createSpans } from './spans.ts'
import { createOwnTarget } from './target.ts'

const stopPollMs = 20
const handoverMs = 5000
const reportStateMs = 2000

/** Settings of a node. */
export interface NodeOptions {
  id: string
  domain: string
  /** Address for callers, host:port. */
  listen: string
  /** Address for peers, host:port, TCP and UDP. */
  peer: string
  /** Loopback address for the own target, host:port. */
  local: string
  seeds: string[]
  secrets: string[]
  /** Longest time that a stop waits for running calls, in milliseconds. */
  stopTimeoutMs: number
  /** Time after the start of a stop for which callers are still served on connections that they keep, in ms. Default: 5000. */
  stopServingMs?: number
  /** How callers and targets speak. Default: the project's own interface. */
  dialect?: Dialect
  /** Whether a node that has not heard of a quorum for a while refuses what needs a key. Default: true. */
  strictKeys?: boolean
  /** Time after a target asked for no new work for which it still gets some, in ms. Default: no end. */
  drainMs?: number
  /** Whether the number of requests that run at once is learnt below the announced slots. Default: true. */
  learnsLimit?: boolean
  /** Retries that all nodes together may make in a short time beyond a tenth of the successes, for each service. Default: no bound. */
  fleetRetries?: number
  /** Window over which rate and burst of a workspace count as one sum, in ms. Default: 0, a token bucket. */
  rateWindowMs?: number
  /** How long callers may keep an idle connection, in ms. Default: 5000. */
  keepAliveMs?: number
}

/** A running node. */
export interface Node {
  listenAddress: string
  peerAddress: string
  localAddress: string
  /** Takes in what the own target says of itself. Returns false when it is older than what is known. */
  announce: (announcement: Announcement) => boolean
  /** The own target said that it is gone. Returns false when another start of it is known. */
  withdraw: (instance: string, bornAt: number | undefined) => boolean
  /** True while callers may send to this node: it knows a configuration and does not stop. */
  isReady: () => boolean
  /** Leaves without cutting a request, then ends. */
  stop: () => Promise<void>
}

/** Starts a node. */
export async function startNode (options: NodeOptions, environment: Environment, hash: Hash): Promise<Node> {
  const { clock, log, metrics, random } = environment
  const { id, domain, peer: address, seeds, secrets, dialect = ownDialect, strictKeys = true, drainMs = Infinity, learnsLimit = true } = options
  const keepAliveMs = options.keepAliveMs ?? callerKeepAliveMs
  const peers = await createPeers({ id, boot: randomId(), role: 'node', domain, address, seeds, secrets }, environment)
  const target = createOwnTarget(peers, environment, { drainMs, learnsLimit })
  const spans = createSpans()
  const dependencies = createDependencies(clock)
  const shares = createKnownShares()
  const requests = createRequestLog(log, metrics, clock, () => random.next())
  const holder = serveClaims(peers, environment)
  const claims = createClaimClient(peers, environment, hash)
  const rates = createRateClient(peers, createMeter(options.rateWindowMs ?? 0), environment)
  const keyProblem = createKeyCheck(peers, clock, { configuredBy: dialect.configuredBy, strict: strictKeys })
  const crashes = createCrashReporter(peers, target, environment)
  const server = createCallServer({ dialect, requests, keyProblem, dependencies, shares, peers, target, claims, crashes, spans, environment })
  const forwarder = createForwarder(peers, environment)
  peers.onMembers((member) => {
    if (member.status !== 'alive') forwarder.doubt(member.address)
  })
  const caller = createCaller({ peers, server, forwarder, fleetRetries: options.fleetRetries ?? Infinity, shares, requests, dialect, environment })
  const directory = createDirectory(peers.configuration, random)
  const refusals = createRefusals(claims, dialect, random, clock)
  const entry = { dialect, dependencies, peers, directory, rates, caller, refusals, keyProblem, requests, environment }
  const outgoing = { dialect, dependencies, keyProblem, peers, directory, spans, caller, refusals, environment }
  let active = 0
  let stopping = false

  const reportBroken = (error: Error) => {
    metrics.count('broken_invariants_total')
    log.error('a request ended in an error', { error: error.stack })
  }
  /** Counts a request until its response is closed, so that a stop can wait for it. */
  const track = (response: ServerResponse, work: Promise<void>) => {
    active++
    if (stopping && !response.headersSent) response.setHeader('connection', 'close')
    response.once('close', () => {
      active--
    })
    work.catch((error: Error) => {
      reportBroken(error)
      response.destroy()
    })
  }
  const trackPeerCall = (work: Promise<void>) => {
    active++
    void work.catch(reportBroken).then(() => {
      active--
    })
  }
  const sessions = servePeerCalls(peers, server, trackPeerCall, environment)
  const serveEntry = (request: IncomingMessage, response: ServerResponse) => track(response, serveCaller(request, response, entry))
  const localHandler = createLocalHandler(peers, target, environment)
  const serveLocal = (request: IncomingMessage, response: ServerResponse) => {
    if (request.url?.startsWith(ownPathPrefix) === true || request.url === '/metrics') return localHandler(request, response)
    if (request.headers[contextHeader] === undefined) return serveEntry(request, response)
    track(response, serveOutgoing(request, response, outgoing))
  }
  const limits = { maxHeaderSize: maxHeaderBytes, requestTimeout: 30_000, headersTimeout: 10_000 }
  const callers = createServer({ ...limits, keepAliveTimeout: keepAliveMs }, serveEntry)
  const local = createServer({ ...limits, keepAliveTimeout: 60_000 }, serveLocal)
  const listenAddress = await listen(callers, options.listen)
  const localAddress = await listen(local, options.local)
  metrics.gauge('running', () => target.gate.running())
  metrics.gauge('limit', () => target.gate.limit())
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  log.info('node started', { id, domain, listen: listenAddress, peer: peers.address, local: localAddress })

  /** Tells the leader which configuration is in force here, for `status`. */
  const reportState = () => {
    const [leader] = peers.controls()
    if (leader === undefined) return
    const age = clock.now() - peers.freshness.freshAt
    const beaconAgeMs = Number.isFinite(age) ? Math.round(age) : -1
    peers.datagrams.notify(leader, 'node.report', { node: id, domain, revision: peers.configuration().revision, beaconAgeMs })
  }
  const reporting = setInterval(reportState, reportStateMs)
  peers.onConfiguration(reportState)

  const waitUntilIdle = async (until: number) => {
    while (active > 0 && clock.now() < until) await pause(stopPollMs)
    if (active > 0) log.warn('stop timeout passed with calls running', { active })
  }
  /** Waits until no claim slot counts on this process any more. */
  const waitForHandover = async () => {
    const until = clock.now() + handoverMs
    const isHolder = () => Object.values(peers.configuration().slots).some((slot) => slot.members.some((member) => member.boot === peers.boot))
    while (isHolder() && clock.now() < until) await pause(stopPollMs)
    if (isHolder()) log.warn('node stops before its claims were handed over', { id })
  }
  return {
    listenAddress,
    peerAddress: peers.address,
    localAddress,
    announce: target.announce,
    withdraw: target.withdraw,
    isReady: () => !stopping && (dialect.configuredBy === 'templates' || directory.deployment() !== undefined),
    async stop () {
      log.info('node leaves', { id })
      const startedAt = clock.now()
      const servesUntil = startedAt + (options.stopServingMs ?? callerKeepAliveMs)
      const endsAt = startedAt + options.stopTimeoutMs
      stopping = true
      target.leave()
      peers.prepareLeave()
      await pause(Math.max(leaveGraceMs, servesUntil - clock.now()))
      server.stop()
      await waitUntilIdle(endsAt)
      await waitForHandover()
      await closeServer(callers)
      peers.announceLeave()
      await closeServer(local)
      clearInterval(reporting)
      rates.close()
      caller.close()
      holder.close()
      forwarder.close()
      sessions.close()
      await target.close()
      await peers.close()
      log.info('node stopped', { id })
    }
  }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
