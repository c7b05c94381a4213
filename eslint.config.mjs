import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-void': 'off',
      'no-unmodified-loop-condition': 'off'
    }
  }
]
