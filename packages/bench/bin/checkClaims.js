import { main } from '../dist/src/checkClaims/main.js';

main(import.meta);
