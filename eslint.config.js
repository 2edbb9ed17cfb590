// The lint rules of the project: typed TypeScript rules, documented public items, decision code
// without clock, timer or randomness, and one direction of imports between folders.
import eslint from '@eslint/js';
import importX, { createNodeResolver } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Folders whose code must be deterministic: time and randomness arrive as arguments. */
const DECISION_FOLDERS = [
  'shared/consensus',
  'managed/balancer',
  'managed/control',
  'managed/dissemination',
  'managed/flow',
  'managed/health',
  'managed/language',
  'managed/limits',
  'managed/gossip',
  'managed/routing',
  'registered/decisions',
  'registered/declared',
  'registered/egress',
  'registered/group',
  'registered/ingress',
  'registered/load-exchange',
  'registered/registry',
];

/** Words of the platform's interfaces, which only `platform/` may know. */
const PLATFORM_WORDS =
  '/Backends\\.|Config\\.(Put|Get)|trafficSplit|pathPrefix|warmupLeftMs|callSeq|datagramAddr|heartbeatAddr|AMBERLIFT_NODE_FILE|Not-Executed|Backend-(Seal|Load)/';
const PLATFORM_MESSAGE = 'Names of the platform stay in platform/.';

/** Rules of decision code, which more specific rules on syntax must repeat. */
const NO_PRESENT_DATE = {
  selector: "NewExpression[callee.name='Date'][arguments.length=0]",
  message: 'Time and randomness come in through StepContext.',
};
const NO_PLATFORM_WORDS = ['Literal[value=', 'Identifier[name=', 'TemplateElement[value.raw='].map(
  (start) => ({ selector: `${start}${PLATFORM_WORDS}]`, message: PLATFORM_MESSAGE }),
);

/** Parts of the source, each with the parts that it may not import. */
const FORBIDDEN_IMPORTS = {
  shared: ['managed', 'registered', 'proof', 'tools'],
  managed: ['registered', 'proof', 'tools'],
  registered: ['managed', 'proof', 'tools'],
  proof: ['tools/cli'],
};

/** Folders at the edge, which decision code may not import. */
const EDGE_FOLDERS = ['shared/daemon', 'managed/daemon', 'registered/daemon'];

/** Decision folders that know nothing of the ones that use them. */
const LAYERS = [
  ['managed/flow', 'managed/balancer'],
  ['managed/flow', 'managed/routing'],
  ['managed/routing', 'managed/balancer'],
];

const CLOCK_MESSAGE = 'Time and randomness come in through StepContext.';

const decisionFiles = DECISION_FOLDERS.map((folder) => `src/${folder}/**/*.ts`);

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'src/**/generated/**',
      '.tap/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: { jsdoc, 'import-x': importX },
    // Imports name the compiled file; the rule on directions needs the source, or it finds nothing to refuse.
    settings: {
      'import-x/resolver-next': [createNodeResolver({ extensionAlias: { '.js': ['.ts', '.js'] } })],
    },
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'VariableDeclaration'],
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
        },
      ],
      'jsdoc/require-file-overview': 'error',
      'import-x/no-restricted-paths': [
        'error',
        {
          zones: [
            ...Object.entries(FORBIDDEN_IMPORTS).flatMap(([target, sources]) =>
              sources.map((from) => ({
                target: `./src/${target}`,
                from: `./src/${from}`,
                message: `Code of ${target} does not import ${from}.`,
              })),
            ),
            ...EDGE_FOLDERS.map((folder) => ({
              target: DECISION_FOLDERS.concat('shared/common').map((name) => `./src/${name}`),
              from: `./src/${folder}`,
              message: 'Decision code does not import the edge.',
            })),
            ...LAYERS.map(([target, from]) => ({
              target: `./src/${target}`,
              from: `./src/${from}`,
            })),
            { target: './src', from: './platform', message: PLATFORM_MESSAGE },
            ...['managed', 'proof', 'tools'].map((folder) => ({
              target: './platform',
              from: `./src/${folder}`,
              message: 'The adapter translates for daemons, and decides nothing.',
            })),
          ],
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...NO_PLATFORM_WORDS] },
  },
  {
    files: decisionFiles,
    rules: {
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'setImmediate', 'performance'].map((name) => ({
          name,
          message: CLOCK_MESSAGE,
        })),
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: CLOCK_MESSAGE },
        { object: 'Math', property: 'random', message: CLOCK_MESSAGE },
        { object: 'process', property: 'hrtime', message: CLOCK_MESSAGE },
      ],
      'no-restricted-syntax': ['error', NO_PRESENT_DATE, ...NO_PLATFORM_WORDS],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            'node:dgram',
            'node:net',
            'node:http',
            'node:https',
            'node:fs',
            'node:timers',
          ].map((name) => ({ name, message: 'Decision code does no input or output.' })),
        },
      ],
    },
  },
  {
    // tap collects the promises of its tests, and its test functions are async by convention.
    files: ['test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      '@typescript-eslint/require-await': 'off',
      '@typescript-eslint/unbound-method': 'off',
    },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        Buffer: 'readonly',
        fetch: 'readonly',
        AbortSignal: 'readonly',
      },
    },
  },
);
