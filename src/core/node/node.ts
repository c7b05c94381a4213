import { createServer as createUnboundedServer } from 'node:http'
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import { randomId } from '../auth/index.ts'
import { createClaimClient } from '../claims/client.ts'
import { admittedPart, createReportedFractions, reportedFractionOf } from '../admission/index.ts'
import type { Hash } from '../claims/index.ts'
import type { EffectiveRoute } from '../config/index.ts'
import { serveClaims } from '../claims/service.ts'
import { createDepartureClient } from '../departures/index.ts'
import { closeServer, listen } from '../http/index.ts'
import type { ProcessClients, ServerFactory } from '../http/index.ts'
import { createRequestLog } from '../log/index.ts'
import { createPeers } from '../peers/index.ts'
import type { Environment } from '../peers/index.ts'
import { createProcessorMeter, loopBusyMs } from '../processor/index.ts'
import { createRateClient } from '../rate/client.ts'
import { createMeter } from '../rate/index.ts'
import { readArrived } from '../turns/index.ts'
import { createCallSender } from './attempts.ts'
import { createTargetMessages } from './target-messages.ts'
import type { TargetMessages } from './target-messages.ts'
import { createBacklog, hasLeft } from './backlog.ts'
import type { Backlog } from './backlog.ts'
import { callerKeepAliveMs, contextHeader, leaveGraceMs, maxHeaderBytes, maxPeerBodyBytes, ownPathPrefix } from './constants.ts'
import { createCrashReporter } from './crashes.ts'
import { createBodyBudget } from './body-budget.ts'
import { serveCaller } from './entry.ts'
import { createDecisions } from './decisions.ts'
import { createDependencies } from './dependencies.ts'
import { defaultDialect } from './dialect.ts'
import type { Dialect } from './dialect.ts'
import { createForwarder } from './forward.ts'
import { headerOf } from './headers.ts'
import { createDirectory } from './identity.ts'
import { createLocalHandler } from './local.ts'
import { serveOutgoing } from './outgoing.ts'
import { servePeerCalls } from './peer-calls.ts'
import type { TrackCall } from './peer-calls.ts'
import { createPipeline } from './pipeline.ts'
import type { PipelineOptions } from './pipeline.ts'
import { createRefusals } from './refusals.ts'
import { createOwnFailures } from './own-failures.ts'
import { createPlannedPolicy, createRandomPolicy } from './return-policy.ts'
import { watchRoom } from './room-log.ts'
import { createRoomShares } from './room-shares.ts'
import { createRunningRequests, giveUpRunning } from './running.ts'
import { createKeyCheck } from './key-check.ts'
import { createCallServer, runEnds, runsMetric } from './serve.ts'
import { abortResponse } from './sinks.ts'
import { createSpans } from './spans.ts'
import { beginsDuring, endStop } from './stop.ts'
import type { Stop, StoppingRequest } from './stop.ts'
import { createOwnTarget } from './target.ts'
import { calleeKey, fractionKey } from './types.ts'
import { createWhere } from './where.ts'

const stopPollMs = 20
const handoverTimeoutMs = 5000
const reportIntervalMs = 2000

/** Time for which the share of a workspace holds where its rate is a token bucket, in milliseconds. */
const bucketRateMs = 1000

/** Settings of a node. */
export interface NodeOptions {
  id: string
  domain: string
  /** Address for callers, host:port. */
  listen: string
  /** Address for peers, host:port, TCP and UDP. */
  peer: string
  /** Loopback address for the node's own target, host:port. */
  local: string
  seeds: string[]
  secrets: string[]
  /** Time after which a stop no longer waits for running calls, in milliseconds. */
  stopTimeoutMs: number
  /** Time after the start of a stop during which requests on open connections are still served, in ms. Default: 5000. */
  stopServingMs?: number
  /** Protocol adapter for callers and targets. Default: the project's own interface. */
  dialect?: Dialect
  /** Whether a node without a recent beacon refuses calls that need a key. Default: true. */
  strictKeys?: boolean
  /** Time during which a leaving target still gets new requests, in ms. Default: unlimited. */
  drainMs?: number
  /** Whether the concurrency limit adapts below the announced slots. Default: true. */
  adaptiveLimit?: boolean
  /** Retries per service that all nodes together may make in a short time beyond a tenth of the successes. Default: unlimited. */
  fleetRetries?: number
  /** Window over which the rate and burst of a workspace form one allowance, in ms. Default: 0, a token bucket. */
  rateWindowMs?: number
  /** Whether the room of targets decides where calls go. Default: true. */
  roomPlacement?: boolean
  /** Whether the room of services limits the requests that are begun. Default: true. */
  roomShares?: boolean
  /** Whether calls of requests in progress wait by the priority of their request. Default: true. */
  rankedWaiting?: boolean
  /** Whether Retry-After follows the expected room. Default: true. */
  plannedReturns?: boolean
  /** Time after which an idle connection of a caller is closed, in ms. Default: 5000. */
  keepAliveMs?: number
  /** Bounds what is held for clients. Default: no bounds. */
  clients?: ProcessClients
}

/** A running node. */
export interface Node {
  listenAddress: string
  peerAddress: string
  localAddress: string
  /** Records an announcement of the node's own target. */
  announce: TargetMessages['announce']
  /** Deregisters a process of the node's own target. The outcome is "outdated" when another process is registered. */
  withdraw: TargetMessages['withdraw']
  /** Returns true while callers may send requests to this node: it has a configuration and is not stopping. */
  isReady: () => boolean
  /** Leaves the cluster, waits for running requests until the stop timeout, then closes the node. The stop counts from `requestedAt`, by default from the call. */
  stop: (requestedAt?: number) => Promise<void>
}

/** Starts a node. */
export async function startNode (options: NodeOptions, environment: Environment, hash: Hash): Promise<Node> {
  const { clock, log, metrics, random } = environment
  const { id, domain, peer: address, seeds, secrets, dialect = defaultDialect, strictKeys = true, drainMs = Infinity, adaptiveLimit = true } = options
  const { roomPlacement = true, rankedWaiting = true } = options
  const keepAliveMs = options.keepAliveMs ?? callerKeepAliveMs
  const peers = await createPeers({ id, boot: randomId(), role: 'node', domain, address, seeds, secrets, clients: options.clients?.peers }, environment)
  const target = createOwnTarget(peers, environment, { drainMs, adaptiveLimit, rankedWaiting, usesRoom: roomPlacement })
  const departures = createDepartureClient(peers, environment, hash, target.restore)
  const targetMessages = createTargetMessages(target, departures, environment)
  const spans = createSpans()
  const dependencies = createDependencies(clock)
  const reportedFractions = createReportedFractions()
  const readRuns = () => Object.fromEntries(runEnds.map((end) => [end, metrics.value(runsMetric(end))]))
  const processor = createProcessorMeter({ node: id, readBusyMs: loopBusyMs, readCounts: readRuns, clock, log, metrics })
  let otherRequests = 0
  const roomShares = options.roomShares === false ? undefined : createRoomShares(target.gate.heldRoom, environment, () => ({ ...processor.read(), otherRequests }))
  const ownFailures = roomPlacement ? createOwnFailures(clock) : undefined
  const claimHolder = serveClaims(peers, environment)
  const claims = createClaimClient(peers, environment, hash)
  const rates = createRateClient(peers, createMeter(options.rateWindowMs ?? 0), environment, hash)
  const directory = createDirectory(peers.configuration, random)
  const requestLog = createRequestLog(id, log, metrics, clock)
  let stop: Stop | undefined
  const decisions = createDecisions({ requestLog, dialect, target, directory, rates, clock, revision: () => peers.configuration().revision, stop: () => stop })
  const findKeyFailure = createKeyCheck(peers, clock, { configuredBy: dialect.configuredBy, strict: strictKeys })
  const crashes = createCrashReporter(peers, target, environment)
  const mayBegin = (request: StoppingRequest) => beginsDuring(stop, request, clock.now())
  const server = createCallServer({ dialect, findKeyFailure, mayBegin, dependencies, reportedFractions, roomShares, ownFailures, rankedWaiting, peers, target, claims, crashes, spans, decisions, environment })
  const forwarder = createForwarder(peers, environment)
  peers.onMemberChange((member) => {
    if (member.status !== 'alive') forwarder.probeNode(member.address)
  })
  const callSender = createCallSender({
    peers, server, forwarder, fleetRetries: options.fleetRetries ?? Infinity, roomPlacement, reportedFractions, roomShares, rankedWaiting, mayBegin, drainMs, decisions, environment
  })
  peers.onMemberChange((member) => {
    if (member.leaving === true || member.target?.state === 'leaving') callSender.refreshMembers()
  })
  const shareOf = (callee: string, rank: number, now: number) => {
    if (roomShares !== undefined) return roomShares.shareOf(callee, rank)
    return admittedPart(reportedFractionOf(reportedFractions, fractionKey(callee, rank, rankedWaiting), now), rank)
  }
  const admissibleRate = (workspace: string) => rates.state(workspace).share / (options.rateWindowMs || bucketRateMs)
  const policy = options.plannedReturns === false ? createRandomPolicy(random) : createPlannedPolicy({ shareOf, usualMs: callSender.meanMs, admissibleRate, random })
  const refusals = createRefusals({ claims, dialect, policy, environment })
  const bodyBudget = createBodyBudget(maxPeerBodyBytes)
  const begunResponses = new WeakSet<ServerResponse>()
  const recordBegun = (response: ServerResponse): boolean => {
    if (response.headersSent) return false
    begunResponses.add(response)
    return true
  }
  const isTargetWorking = () => server.running() > 0
  const estimateRank = ({ service, name: route, priority }: EffectiveRoute) => (rankedWaiting ? dependencies.drawRank(calleeKey({ service, route }), random) : undefined) ?? priority
  const { gate } = target
  const entryContext = { dialect, dependencies, estimateRank, gate, ownFailures, peers, directory, rates, callSender, refusals, bodyBudget, findKeyFailure, mayBegin, isTargetWorking, recordBegun, decisions, environment }
  const outgoingContext = { dialect, dependencies, gate, findKeyFailure, peers, directory, spans, callSender, refusals, bodyBudget, mayBegin, recordBegun, decisions, environment }
  const backlog = createBacklog(clock)
  const running = createRunningRequests(clock)

  const logUnexpectedError = (error: Error) => {
    metrics.count('broken_invariants_total')
    log.error('request failed with an unexpected error', { error: error.stack })
  }
  /** Ends a response when a stop does. An answer that is complete stays, because its client may read it until connections are closed. */
  const giveUp = (response: ServerResponse) => {
    const endIsVisible = response.useChunkedEncodingByDefault
    if (response.writableEnded && endIsVisible) return
    if (response.headersSent) return abortResponse(response)
    refusals.refuseGivenUp(response, begunResponses.has(response))
  }
  /** Counts a request as running until its response is closed; a stop waits for running requests. Begins it unless its client has left by then. */
  const trackResponse = (request: IncomingMessage, response: ServerResponse, serve: () => Promise<void>) => {
    const id = request.headers[dialect.requestIdHeader]?.toString()
    response.once('close', running.begin({ id, source: 'caller', giveUp: () => giveUp(response) }))
    otherRequests++
    backlog.run(() => {
      if (hasLeft(request, response)) {
        metrics.count('requests_abandoned_total')
        return decisions.abandon(request)
      }
      serve().catch((error: Error) => {
        logUnexpectedError(error)
        decisions.crash(request, error)
        abortResponse(response)
      })
    })
  }
  const trackPeerCall: TrackCall = (headers, work, giveUp) => {
    const id = headerOf(headers, dialect.requestIdHeader)
    void work.catch(logUnexpectedError).then(running.begin({ id, source: 'node', giveUp }))
  }
  const peerSessions = servePeerCalls(peers, server, trackPeerCall, bodyBudget, environment)
  const serveEntry = (request: IncomingMessage, response: ServerResponse, arrivedAt: number) => {
    trackResponse(request, response, () => serveCaller(request, response, arrivedAt, entryContext))
  }
  const where = createWhere({ dialect, peers, directory, rates, callSender, shareOf, findKeyFailure, mayBegin, environment })
  const localHandler = createLocalHandler(peers, target, environment, where)
  const serveLocal = (request: IncomingMessage, response: ServerResponse, arrivedAt: number) => {
    if (request.url?.startsWith(ownPathPrefix) === true || request.url === '/metrics') return localHandler(request, response)
    if (request.headers[contextHeader] === undefined) return serveEntry(request, response, arrivedAt)
    trackResponse(request, response, () => serveOutgoing(request, response, outgoingContext))
  }
  const leaveUnserved = (request: IncomingMessage) => {
    metrics.count('requests_unserved_total')
    decisions.leaveUnserved(request)
  }
  const limits = { maxHeaderSize: maxHeaderBytes, requestTimeout: 30_000, headersTimeout: 10_000 }
  const { createServer = createUnboundedServer, hasUnparsed } = options.clients?.callers ?? {}
  const callerServer = createPipelinedServer(createServer, { ...limits, keepAliveTimeout: keepAliveMs }, { serve: serveEntry, now: clock.now, isStopping: () => stop !== undefined, hasUnparsed, leaveUnserved }, backlog)
  const localServer = createPipelinedServer(createServer, { ...limits, keepAliveTimeout: 60_000 }, { serve: serveLocal, now: clock.now, isStopping: () => stop !== undefined, hasUnparsed, leaveUnserved }, backlog)
  const listenAddress = await listen(callerServer, options.listen)
  const localAddress = await listen(localServer, options.local)
  metrics.gauge('stopping', () => stop === undefined ? 0 : 1)
  metrics.gauge('requests_running', running.count)
  metrics.gauge('bodies_held_bytes', bodyBudget.usedBytes)
  metrics.gauge('running', () => target.gate.running())
  metrics.gauge('limit', () => target.gate.limit())
  metrics.gauge('slots_waiting', gate.waitingSlots)
  metrics.gauge('slots_reserved', gate.reservedSlots)
  const roomLog = watchRoom(id, target, ownFailures, environment)
  log.info('node started', { id, domain, listen: listenAddress, peer: peers.address, local: localAddress })

  /** Reports to the leader which configuration revision this node applies, for `status`. */
  const reportRevision = () => {
    const [leader] = peers.controlAddresses()
    if (leader === undefined) return
    const age = clock.now() - peers.freshness.confirmedAt
    const beaconAgeMs = Number.isFinite(age) ? Math.round(age) : -1
    peers.datagrams.notify(leader, 'node.report', { node: id, domain, revision: peers.configuration().revision, beaconAgeMs })
  }
  const reportTimer = setInterval(reportRevision, reportIntervalMs)
  peers.onConfigurationChange(reportRevision)

  const waitUntilIdle = async (until: number) => {
    const isBusy = () => running.count() > 0 || backlog.isCatchingUp() || peerSessions.isSending()
    while (isBusy() && clock.now() < until) await pause(stopPollMs)
  }
  /** Waits until this process is no longer a member of any claim slot. */
  const waitForHandover = async () => {
    const until = clock.now() + handoverTimeoutMs
    const isHolder = () => Object.values(peers.configuration().slots).some((slot) => slot.members.some((member) => member.boot === peers.boot))
    while (isHolder() && clock.now() < until) await pause(stopPollMs)
    if (isHolder()) log.warn('node stops before its claims are handed over', { id })
  }
  return {
    listenAddress,
    peerAddress: peers.address,
    localAddress,
    announce: targetMessages.announce,
    withdraw: targetMessages.withdraw,
    isReady: () => stop === undefined && (dialect.configuredBy === 'templates' || directory.deployment() !== undefined),
    async stop (requestedAt) {
      log.info('node leaving', { id })
      const startedAt = requestedAt ?? clock.now()
      const servesUntil = startedAt + Math.max(leaveGraceMs, options.stopServingMs ?? callerKeepAliveMs)
      const endsAt = startedAt + options.stopTimeoutMs
      stop = { startedAt, servesUntil, endsAt }
      target.leave()
      peers.prepareLeave(options.stopTimeoutMs)
      await pause(Math.min(servesUntil, endsAt) - clock.now())
      await waitUntilIdle(endsAt)
      stop = endStop(stop, clock.now())
      // Calls that have not run are refused before what runs is given up.
      if (target.gate.removeWaiting() > 0) await pause(stopPollMs)
      giveUpRunning(running, startedAt, environment)
      await waitForHandover()
      const closed = Promise.all([closeServer(callerServer), closeServer(localServer)])
      peers.announceLeave()
      await closed
      await readArrived() // Calls of other nodes that lie unread are refused.
      peerSessions.close()
      clearInterval(reportTimer)
      roomLog.close()
      processor.close()
      rates.close()
      callSender.close()
      roomShares?.close()
      claimHolder.close()
      forwarder.close()
      crashes.close()
      departures.close()
      await target.close()
      await peers.close()
      log.info('node stopped', { id })
    }
  }
}

function createPipelinedServer (createServer: ServerFactory, options: ServerOptions, pipelineOptions: PipelineOptions, backlog: Backlog): Server {
  const pipeline = createPipeline(pipelineOptions)
  return createServer(options, pipeline.accept).on('clientError', pipeline.reject).on('connection', backlog.recordConnection)
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
