export { formatConfiguration } from './formatConfiguration.js';
