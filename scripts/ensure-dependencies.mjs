// Installs the locked dependencies if none are installed.
import { existsSync } from 'node:fs'
import { execFileSync } from 'node:child_process'

if (!existsSync('node_modules/.package-lock.json')) {
  execFileSync('npm', ['ci'], { stdio: 'inherit' })
}
