/**
 * @file All statements of the operators' language, from which the command reference (docs/COMMANDS.md) is
 * generated.
 */

/** Reference entry of one statement. */
export interface StatementReference {
  /** Syntax, with values in angle brackets and optional parts in square brackets. */
  readonly form: string;
  readonly meaning: string;
  readonly examples: readonly string[];
}

/** Statements that change the configuration. */
export const commandReference: readonly StatementReference[] = [
  {
    form: 'define service <service> at <IP:PORT> [policy <policy>] [limit opens <number>/s] [limit connections <number> per backend]',
    meaning:
      'Defines a service at the address that callers use. The policy is `adaptive` where none is named.',
    examples: [
      'define service authd at 127.0.0.1:7000',
      'define service authd at 127.0.0.1:7000 policy adaptive limit opens 500/s',
      'define service settled at [::1]:7000 limit opens 200/s limit connections 2000 per backend',
    ],
  },
  {
    form: 'change service <service> [policy <policy>] [limit opens <number>/s] [limit connections <number> per backend] [based on <version>]',
    meaning: 'Changes the policy, the limits or both; what is not named stays as it is.',
    examples: [
      'change service authd policy adaptive based on 3',
      'change service authd limit connections 1500 per backend',
    ],
  },
  {
    form: 'retire service <service> [based on <version>]',
    meaning: 'Removes a service that has no back ends left.',
    examples: ['retire service authd'],
  },
  {
    form: 'add backend to <service> at <IP:PORT> health <IP:PORT> zone <zone> [based on <version>]',
    meaning:
      'Adds a back end: its UDP address for packets, its HTTP address for health and load, its zone.',
    examples: ['add backend to authd at 127.0.0.1:9001 health 127.0.0.1:9101 zone z1'],
  },
  {
    form: 'drain backend <back end ID> [based on <version>]',
    meaning: 'Gives a back end no new flows; its established flows stay.',
    examples: ['drain backend 12'],
  },
  {
    form: 'cancel drain backend <back end ID> [based on <version>]',
    meaning: 'Gives a draining back end new flows again.',
    examples: ['cancel drain backend 12'],
  },
  {
    form: 'retire backend <back end ID> [based on <version>]',
    meaning: 'Removes a draining back end. Its ID is never used again.',
    examples: ['retire backend 12', 'retire backend 12 based on 7'],
  },
  {
    form: 'at <time> <change>',
    meaning:
      'Plans one of the changes above for a point in time. Whether it is allowed is decided then; `show audit` tells.',
    examples: [
      'at 2026-12-03T04:00Z drain backend 12',
      'at 2026-12-03T04:00:30+02:00 retire backend 12',
    ],
  },
  {
    form: 'in <number> <ms|s|m|h|d> <change>',
    meaning: 'Plans a change for some time after the command is taken, at most 366 days.',
    examples: ['in 10 m drain backend 12', 'in 2 h change service authd policy maglev'],
  },
  {
    form: 'cancel plan <plan ID>',
    meaning: 'Cancels a planned change that has not been executed.',
    examples: ['cancel plan 4'],
  },
];

/** Statements that only read. */
export const queryReference: readonly StatementReference[] = [
  {
    form: 'show services',
    meaning:
      'All your services with their committed version, and whether it is in force everywhere.',
    examples: ['show services'],
  },
  {
    form: 'show service <service>',
    meaning: 'One service with its back ends.',
    examples: ['show service authd'],
  },
  {
    form: 'show backends [of <service>]',
    meaning: 'Your back ends, and what each carries as far as the balancers have reported it.',
    examples: ['show backends', 'show backends of authd'],
  },
  {
    form: 'show changes',
    meaning: 'Planned changes, and accepted changes that are not yet in force on every balancer.',
    examples: ['show changes'],
  },
  {
    form: 'show in force',
    meaning: 'Your committed revision, the one in force everywhere, and the balancers between.',
    examples: ['show in force'],
  },
  {
    form: 'show balancers',
    meaning: 'The balancers that lag behind your committed revision, by name.',
    examples: ['show balancers'],
  },
  {
    form: 'show capacity',
    meaning: 'The shared balancers, as totals over both partners.',
    examples: ['show capacity'],
  },
  {
    form: 'show audit [last <number>]',
    meaning: 'Your commands with their outcomes, oldest first.',
    examples: ['show audit', 'show audit last 20'],
  },
  {
    form: 'explain backend <back end ID>',
    meaning: 'What is known of one back end: its state, its service, the planned changes on it.',
    examples: ['explain backend 12'],
  },
  {
    form: 'explain command <command ID>',
    meaning: 'What came of a command, and whether it is in force everywhere.',
    examples: ['explain command 20261202T065703Z-4f1c9a'],
  },
];

/** One option of `amberlift ctl`. */
interface OptionReference {
  readonly flag: string;
  readonly meaning: string;
}

/** The options of `amberlift ctl`, also used by its command-line parser. */
export const ctlOptions: readonly OptionReference[] = [
  {
    flag: '--control <address>',
    meaning: 'Operator address of a control machine; may be repeated',
  },
  { flag: '--token-file <file>', meaning: "File with the operator's bearer token" },
  {
    flag: '--token <token>',
    meaning: "The operator's bearer token; others may see it in process lists",
  },
  {
    flag: '--ca <file>',
    meaning: 'Certificate (PEM) that the control machines are checked by; uses TLS',
  },
  {
    flag: '--file <file>',
    meaning: 'Run a script, one statement a line; /dev/stdin reads standard input',
  },
  { flag: '--command-id <id>', meaning: 'Command ID, to send a command or script again' },
  { flag: '--history <file>', meaning: 'Keep the history of the prompt in this file' },
  {
    flag: '--wait <seconds>',
    meaning: 'Wait until accepted commands are in force on every balancer',
  },
  { flag: '--json', meaning: 'Print JSON, one value a statement' },
];
