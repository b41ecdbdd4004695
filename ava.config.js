export default {
  files: ['packages/*/dist/__tests__/**/*.spec.js', 'platform/dist/__tests__/**/*.spec.js'],
  timeout: '2m',
  concurrency: 6,
};
