import * as tap from 'tap';

import * as callDigests from '../src/call-digest.js';

const CALL = {
  method: 'POST',
  host: 'site.example',
  path: '/a/b?x=1',
  team: 'sales',
  body: Buffer.from('draft the log'),
};

void tap.default.test(
  'calls have the same digest exactly if they have the same content',
  async (t) => {
    const digest = callDigests.getCallDigest(CALL);
    t.match(digest, /^[0-9a-f]{32}$/);
    t.equal(callDigests.getCallDigest({ ...CALL, body: Buffer.from(CALL.body) }), digest);
    t.equal(callDigests.getCallDigest({ ...CALL, host: 'SITE.example' }), digest);
    const others = [
      { ...CALL, method: 'PUT' },
      { ...CALL, path: '/a/b?x=2' },
      { ...CALL, team: 'night' },
      { ...CALL, team: undefined },
      { ...CALL, body: Buffer.from('draft the lof') },
      // Parts that concatenate to the same text must not give the same digest.
      { ...CALL, path: '/a/b?x=1sales', team: '' },
    ];
    const digests = others.map((other) => callDigests.getCallDigest(other));
    t.equal(new Set([...digests, digest]).size, others.length + 1);
  },
);
