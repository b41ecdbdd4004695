import { configs, plugins } from 'eslint-config-airbnb-extended';

const ownPackages = '@filbertlatch/*';

// The adapter to the users' platform imports the product, never the other way round.
const adapter = '@filbertlatch/platform';
const soak = '@filbertlatch/soak';

// The layers: a package may import only the packages below it.
const layers = {
  core: ['@filbertlatch/*'],
  router: [
    '@filbertlatch/standins',
    '@filbertlatch/daemon',
    '@filbertlatch/bench',
    '@filbertlatch/cli',
    soak,
    adapter,
  ],
  standins: ['@filbertlatch/daemon', '@filbertlatch/bench', '@filbertlatch/cli', soak, adapter],
  daemon: ['@filbertlatch/bench', '@filbertlatch/cli', soak, adapter],
  bench: ['@filbertlatch/daemon', '@filbertlatch/cli', soak, adapter],
  cli: [soak, adapter],
  // The soak judges the program from outside; of the product it takes only its seeded numbers.
  soak: [
    '@filbertlatch/router',
    '@filbertlatch/standins',
    '@filbertlatch/daemon',
    '@filbertlatch/bench',
    '@filbertlatch/cli',
    adapter,
  ],
};

// The core decides; it must not see a socket, a timer, a file or a log.
const coreForbidden = ['node:*', 'undici', 'hono', 'winston', '@hono/*', 'prom-client'];

const forbiddenSyntax = ['ForInStatement', 'LabeledStatement', 'WithStatement'];

const wholeReads = '/^(arrayBuffer|blob|bytes|dump|formData|json|text)$/';
const readMessage = 'Read what others send by packages/router/src/bounds, which limits it.';

// What others send may go on without end.
const unboundedReads = [
  `CallExpression[callee.property.name=${wholeReads}][callee.object.name='body']`,
  `CallExpression[callee.property.name=${wholeReads}][callee.object.property.name=/^(body|req)$/]`,
  'NewExpression[callee.name=/^(Agent|Client|Pool)$/]',
].map((selector) => ({ selector, message: readMessage }));

// Files with a limit of their own, which docs/design/reads.md names.
const boundedFiles = [
  'packages/router/src/bounds/*.ts',
  'packages/router/src/admin/commands.ts',
  'packages/router/src/callers/callerApi.ts',
  'packages/router/src/endpoints/endpointTask.ts',
  'packages/router/src/gateway/{controlApi,endpointConnections}.ts',
  'packages/router/src/peers/peerApi.ts',
];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.js', '**/*.cjs'],
    rules: {
      // prettier owns the layout of the text.
      '@stylistic/max-len': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/wrap-iife': 'off',
      '@stylistic/nonblock-statement-body-position': 'off',
      '@stylistic/brace-style': 'off',
      '@stylistic/lines-between-class-members': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/no-extra-parens': 'off',
      // Named exports read the same at both ends; Vue's sources do so too.
      'import-x/prefer-default-export': 'off',
      // NodeNext wants the ending of the compiled file, which TypeScript resolves itself.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      // The core's state is changed in place by its commands: copies cost the hot path too much.
      'no-param-reassign': ['error', { props: false }],
      // Loops that can stop early read better than callbacks that cannot.
      'no-restricted-syntax': ['error', ...forbiddenSyntax],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-underscore-dangle': 'off',
      'max-classes-per-file': 'off',
      // A floating promise is marked by `void`, as typescript-eslint asks.
      'no-void': ['error', { allowAsStatement: true }],
      // Node 20 serves these without a flag; hono is built on them.
      'n/no-unsupported-features/node-builtins': [
        'error',
        { version: '>=20.20.0', ignores: ['fetch', 'Request', 'Response', 'Headers'] },
      ],
      'n/no-unsupported-features/es-syntax': ['error', { version: '>=20.20.0' }],
    },
  },
  {
    files: ['packages/{cli,router}/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: boundedFiles,
    rules: { 'no-restricted-syntax': ['error', ...forbiddenSyntax, ...unboundedReads] },
  },
  {
    files: ['**/__tests__/**', '**/src/testing/**', '*.config.js', 'deploy/*.js'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-unpublished-import': 'off',
    },
  },
  { files: ['**/*.cjs'], languageOptions: { sourceType: 'commonjs' } },
  {
    // Steps of the build, and a start that has nothing to do before the bundle is read.
    files: ['deploy/**/*.js', 'deploy/**/*.cjs'],
    rules: {
      'n/no-sync': 'off',
      'n/no-unpublished-require': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  ...Object.entries(layers).map(([name, patterns]) => ({
    files: [`packages/${name}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [{ group: name === 'core' ? [ownPackages, ...coreForbidden] : patterns }],
        },
      ],
    },
  })),
];
