import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Member } from '../../src/core/membership/index.ts'
import { chooseRelays, chooseSource } from '../../src/core/peers/spread.ts'
import { createRandom } from '../../src/core/random/index.ts'

const domains = ['a', 'b', 'c', 'd', 'e', 'f']
const members: Member[] = Array.from({ length: 198 }, (_, index) => ({
  id: `n${index}`, startedAt: 1, boot: `b${index}`, incarnation: 0, status: 'alive', role: 'node', domain: domains[index % domains.length], address: `10.0.0.${index}:1`
}))
const domainOf = new Map(members.map(({ address, domain }) => [address, domain]))

test('the issuer of a beacon sends it to every domain', () => {
  const random = createRandom(1)
  for (let round = 0; round < 50; round++) {
    const reached = new Set(chooseRelays(members[0], members, true, random).map((address) => domainOf.get(address)))
    assert.deepEqual([...reached].sort(), domains)
  }
})

test('all members of a domain together relay a beacon a few times to each other domain', () => {
  const random = createRandom(2)
  const rounds = 200
  let far = 0
  for (let round = 0; round < rounds; round++) {
    for (const member of members.filter(({ domain }) => domain === 'a')) {
      far += chooseRelays(member, members, false, random).filter((address) => domainOf.get(address) !== 'a').length
    }
  }
  const perDomain = far / rounds / (domains.length - 1)
  assert.ok(perDomain > 1.5 && perDomain < 2.5, `${perDomain}`)
})

test('a member that is alone in its domain relays to every other one', () => {
  const lone = members.slice(0, 2)
  assert.equal(chooseRelays(lone[0], lone, false, createRandom(3)).length, 1)
})

test('configurations are mostly fetched within the domain', () => {
  const random = createRandom(4)
  let near = 0
  for (let round = 0; round < 1000; round++) {
    if (domainOf.get(chooseSource(members[0], members, members[1].address, random, () => true) ?? '') === 'a') near++
  }
  assert.ok(near > 700 && near < 900, `${near}`)
})

test('a member that is alone in its domain fetches from another one', () => {
  const random = createRandom(5)
  const lone = members.slice(0, 3)
  for (let round = 0; round < 20; round++) {
    const address = chooseSource(lone[0], lone, lone[1].address, random, () => true)
    assert.ok(lone.some((member) => member.address === address), address)
  }
})
