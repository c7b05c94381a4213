import xxhash from 'xxhash-wasm'

/** Loads the 32-bit xxHash, used for placement. It is not collision-resistant against crafted inputs. */
export async function loadHash (): Promise<(text: string) => number> {
  const { h32 } = await xxhash()
  return h32
}
