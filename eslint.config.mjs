import * as airbnb from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import * as regexp from 'eslint-plugin-regexp';
import * as tseslint from 'typescript-eslint';

import noChangeAfterAwait from './scripts/lint/no-change-after-await.mjs';

export default tseslint.config(
  { ignores: ['**/dist/**', '**/.tap/**', 'run/**', 'target/**', 'journal/**'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.node,
  airbnb.plugins.typescriptEslint,
  ...airbnb.extensions.base.typescript,
  airbnb.rules.typescript.typescriptEslint ?? {},
  {
    // A pattern that backtracks may take time by the power of the text that it tests, on the only thread of the process.
    plugins: { regexp },
    rules: {
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      // House lines that go before Airbnb: namespace imports, generators, classes behind interfaces.
      'import-x/no-namespace': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/namespace': 'off',
      'import-x/no-rename-default': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/lines-between-class-members': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, variables: false, classes: false },
      ],
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    // A promise that nobody handles ends the process when it rejects: schemas.runInBackground takes a task that nobody waits for.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
      'no-void': 'error',
    },
  },
  {
    // State that survives failures. The write-ahead log is left out: its operations run one at a time.
    files: ['packages/consensus/src/**/*.ts', 'packages/requests/src/claim-*.ts'],
    ignores: ['packages/consensus/src/wal.ts', 'packages/consensus/src/file-storage.ts'],
    plugins: { local: { rules: { 'no-change-after-await': noChangeAfterAwait } } },
    rules: { 'local/no-change-after-await': 'error' },
  },
  prettier,
);
