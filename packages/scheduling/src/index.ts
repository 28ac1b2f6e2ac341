export * from './return-schedule.js';
export * from './stated-load.js';
