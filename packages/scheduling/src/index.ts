export * from './stated-load.js';
