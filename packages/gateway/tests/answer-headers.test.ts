import * as tap from 'tap';

import * as sites from './support/small-site.js';

/** Values of a header as bytes, one character each. */
const VALUES = ['plain', Buffer.from('5 \u20ac, caf\u00e9', 'utf8').toString('latin1')];

// Guards against an answer that is replaced by a failure, or changed, because of a header outside ASCII.
void tap.default.test('headers of answers reach the caller unchanged', async (t) => {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  await site.addUpstream('app-1', 'app', (req, res) => {
    const value = VALUES[Number(req.url?.at(-1))]!;
    res.writeHead(200, {
      'call-id': req.headers['call-id'],
      'content-length': 2,
      'x-note': value,
      'x-notes': [value, value],
    });
    // With a text, Node.js would write the headers in UTF-8, too.
    res.end(Buffer.from('ok'));
  });
  await site.declare({});
  await site.until('served', () => site.entry.isReady() && site.entry.directory.countLive() === 1);
  for (const [index, value] of VALUES.entries()) {
    for (const path of [`/once/${index}`, `/plain/${index}`]) {
      const { headers, status } = await site.call(path);
      t.equal(status, 200, path);
      t.equal(headers['x-note'], value);
      t.equal(headers['x-notes'], `${value}, ${value}`);
    }
  }
});
