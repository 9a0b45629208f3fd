import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      // `void` marks promises that nobody waits for.
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  {
    files: ['tests/**/*.ts'],
    // Chai assertions such as `expect(x).to.be.true` are expressions.
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' }
  }
]
