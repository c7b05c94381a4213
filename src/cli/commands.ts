import { Builtins } from 'clipanion'
import type { CommandClass } from 'clipanion'
import { AuditCommand, AuditVerifyCommand } from './audit/index.ts'
import { BenchCommand } from './bench/index.ts'
import { ConfigCheckCommand } from './config/index.ts'
import { ControlCommand } from './control/index.ts'
import { ExplainCommand } from './explain/index.ts'
import { KeyGiveCommand, KeyListCommand, KeyWithdrawCommand } from './key/index.ts'
import { MemberAddCommand, MemberListCommand, MemberRemoveCommand } from './member/index.ts'
import { NodeCommand } from './node/index.ts'
import { OperatorGiveCommand, OperatorListCommand, OperatorWithdrawCommand } from './operator/index.ts'
import { QuarantineListCommand, QuarantineReleaseCommand } from './quarantine/index.ts'
import { StatusCommand } from './status/index.ts'
import { TemplateGetCommand, TemplateListCommand, TemplateSetCommand } from './template/index.ts'
import { WhereCommand } from './where/index.ts'
import { WorkspaceGetCommand, WorkspaceListCommand, WorkspaceSetCommand } from './workspace/index.ts'

/** All commands of the program. */
export const commands: CommandClass[] = [
  NodeCommand, ControlCommand,
  TemplateSetCommand, TemplateGetCommand, TemplateListCommand,
  WorkspaceSetCommand, WorkspaceGetCommand, WorkspaceListCommand,
  KeyGiveCommand, KeyWithdrawCommand, KeyListCommand,
  OperatorGiveCommand, OperatorWithdrawCommand, OperatorListCommand,
  QuarantineListCommand, QuarantineReleaseCommand,
  MemberAddCommand, MemberRemoveCommand, MemberListCommand,
  StatusCommand, AuditCommand, AuditVerifyCommand, ExplainCommand, WhereCommand, ConfigCheckCommand, BenchCommand,
  Builtins.HelpCommand, Builtins.VersionCommand
]
