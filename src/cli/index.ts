import { commands } from './commands.ts'
import { runCli } from './run.ts'

runCli(commands)
