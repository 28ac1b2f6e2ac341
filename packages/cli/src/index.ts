/** The operator's commands; the program is `bramleyctl`. */
export * from './commands.js';
export * from './declaration-folder.js';
export * from './exit-codes.js';
export * from './operator-client.js';
