// Reports changes of an object's state that follow an `await` in the same function. What was read before the wait may no
// longer hold, and the change would overwrite what came meanwhile. A synchronous method that checks the state and changes
// it in one step takes their place.

/** Methods that change a log or a state machine. */
const CHANGING_METHODS = new Set(['append', 'compact', 'resetTo', 'restore']);

const FUNCTIONS = 'FunctionDeclaration, FunctionExpression, ArrowFunctionExpression';

/** Returns the path of a member expression that begins at `this`, such as `entries.append`. */
function findOwnPath(node) {
  if (node.type === 'ThisExpression') return [];
  if (node.type !== 'MemberExpression' || node.computed) return undefined;
  const path = findOwnPath(node.object);
  return path && [...path, node.property.name];
}

export default {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      changed:
        '`this.{{path}}` changes after an `await`: check and change the state in one synchronous method.',
    },
  },
  create(context) {
    const functions = [];
    const report = (node, path) => {
      if (functions.at(-1)?.hasAwaited === true && path !== undefined && path.length > 0) {
        context.report({ node, messageId: 'changed', data: { path: path.join('.') } });
      }
    };
    return {
      [FUNCTIONS]: () => functions.push({ hasAwaited: false }),
      [`:matches(${FUNCTIONS}):exit`]: () => functions.pop(),
      'AwaitExpression:exit': () => {
        const current = functions.at(-1);
        if (current !== undefined) current.hasAwaited = true;
      },
      'AssignmentExpression:exit': (node) => report(node, findOwnPath(node.left)),
      'UpdateExpression:exit': (node) => report(node, findOwnPath(node.argument)),
      CallExpression: (node) => {
        const path = findOwnPath(node.callee);
        if (path !== undefined && path.length > 1 && CHANGING_METHODS.has(path.at(-1))) {
          report(node, path);
        }
      },
    };
  },
};
