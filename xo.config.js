/** The linter's and the formatter's rules for the whole workspace. */
const config = [
	{ignores: ['**/dist/**', 'results/**', 'target/**']},
	{
		files: ['**/*.{js,ts}'],
		prettier: true,
		rules: {
			// `Ok` and `Err` of ts-results-es are functions, not constructors.
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err']}],
			// Streams and undici give buffers, not bare byte arrays.
			'@typescript-eslint/no-restricted-types': 'off',
			// Static factories stand beside the constructor.
			'@typescript-eslint/member-ordering': 'off',
			// Attempts, polls and shutdown steps follow each other by intent.
			'no-await-in-loop': 'off',
			// Values from JSON.parse are narrowed by schemas where they come from outside.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['packages/*/test/**', 'platform/test/**'],
		rules: {
			// Test bodies may give back what their last call gives.
			'@typescript-eslint/strict-void-return': 'off',
		},
	},
	{
		files: ['platform/test/**'],
		rules: {
			// The platform's documents have its own field names.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['packages/*/src/bin/**', 'platform/src/bin/**'],
		rules: {
			// A program decides its own exit code.
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
