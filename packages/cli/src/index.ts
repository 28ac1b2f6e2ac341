/** Commands of the operator's command-line program, `bramleyctl`. */
export * from './commands.js';
export * from './declaration-folder.js';
export * from './exit-codes.js';
export * from './operator-client.js';
export * from './team-shares.js';
