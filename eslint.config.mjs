import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

// Airbnb's rules for TypeScript. Where a rule of Airbnb and a line of the house style disagree, the
// house style wins: named exports only, `_name.ts` for private files, `name_test.ts` for tests,
// imports with their `.ts` ending, and tasks whose loops await on purpose.
export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'src/schema/_generated/**',
      'bench-results/**',
      'eslint.config.mjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  // Prettier formats; Airbnb's format rules that disagree with it are off.
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/extensions': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object instead of an enum.' },
        { selector: 'WithStatement', message: '`with` is not allowed.' },
      ],
      'no-underscore-dangle': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'n/no-sync': 'off',
      // The programs that package.json names are compiled from src/bin.
      'n/hashbang': 'off',
      'n/no-process-env': 'off',
      'n/global-require': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      'max-lines': ['error', { max: 300, skipBlankLines: false, skipComments: false }],
    },
  },
  // The scheduler's functions change the state of the cell that they are given, in place: copies of
  // it for each event would cost more than the decisions.
  {
    files: ['src/scheduler/**/*.ts', 'src/cell/**/*.ts'],
    rules: { 'no-param-reassign': ['error', { props: false }] },
  },
  // Declarations of modules follow the modules that they describe.
  { files: ['**/*.d.ts'], rules: { 'import-x/no-default-export': 'off' } },
  // Programs end themselves with an exit code.
  { files: ['src/bin/**/*.ts'], rules: { 'n/no-process-exit': 'off' } },
];
