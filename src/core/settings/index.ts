import * as v from 'valibot'
import { fail, succeed } from '../errors/index.ts'
import type { Outcome } from '../errors/index.ts'
import { settings } from './schema.ts'
import type { Setting, SettingName, SettingValue } from './schema.ts'

export { settings }
export type { Setting, SettingName, SettingValue }

/** Validated settings by name. */
export type Settings<Name extends SettingName> = { [Key in Name]: SettingValue<Key> }

/** Unparsed settings by name, as given by flags or environment variables. */
export type SettingTexts<Name extends SettingName> = { [Key in Name]?: string }

/** Settings of the bounds for what a process holds for its clients. */
export const clientSettings = ['clientConnections', 'clientRequests', 'connectionRequests', 'clientBytes', 'clientHeadBytes', 'connectionBytes'] as const satisfies readonly SettingName[]

const secretSettings: readonly SettingName[] = ['secrets', 'operatorToken', 'token', 'key']

/** Parses settings. Returns a failure for the first invalid one, with its flag, its value (hidden for secrets) and the allowed values. */
export function readSettings<Name extends SettingName> (names: readonly Name[], texts: SettingTexts<Name>): Outcome<Settings<Name>> {
  const values: Partial<Record<SettingName, unknown>> = {}
  for (const name of names) {
    const definition: Setting<unknown> = settings[name]
    const text = texts[name] ?? definition.fallback
    if (text === undefined) {
      return fail('invalidSetting', { flag: definition.flag, value: '', allowed: `${definition.unit}, for example ${definition.example} (or set ${definition.variable})` })
    }
    const parsed = v.safeParse(definition.schema, text)
    if (!parsed.success) {
      const displayedValue = secretSettings.includes(name) ? '(hidden)' : text
      return fail('invalidSetting', { flag: definition.flag, value: displayedValue, allowed: parsed.issues[0].message })
    }
    values[name] = parsed.output
  }
  return succeed(values as Settings<Name>)
}
