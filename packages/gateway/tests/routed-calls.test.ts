import type * as http from 'node:http';

import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as sites from './support/small-site.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** Answers a call with its ID, so that the answer is attributed to the call. */
function reply(req: http.IncomingMessage, res: http.ServerResponse, status: number, body: string) {
  res.writeHead(status, { 'call-id': req.headers['call-id'], 'content-length': body.length });
  res.end(body);
}

/** Formats the event with a number. */
/** Time after which a leaving upstream must get no more requests, as the settings of the site have it, in milliseconds. */
const LEAVING_MS = 3_000;

function event(n: number): string {
  return `id: ${n}\ndata: part ${n}\n\n`;
}

/** Formats all events up to a number. */
function listEvents(count: number): string {
  return Array.from({ length: count }, (_, n) => event(n + 1)).join('');
}

/**
 * An engine's stream that sends events until it is ended. A silent one would be resumed from its backup after 1.5 s,
 * which on a busy machine may be before the event that the test waits for.
 */
class TickingStream {
  public count = 0;
  private end: (how: 'finish' | 'crash') => void = () => {};

  public serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    const tick = () => {
      this.count += 1;
      res.write(event(this.count));
    };
    tick();
    const timer = setInterval(tick, 100);
    res.once('close', () => clearInterval(timer));
    this.end = (how) => {
      clearInterval(timer);
      if (how === 'finish') {
        res.end();
      } else {
        req.socket.resetAndDestroy();
      }
    };
  }

  /** Ends the stream normally. */
  public finish(): void {
    this.end('finish');
  }

  /** Resets the stream's connection, like an engine that crashes. */
  public crash(): void {
    this.end('crash');
  }
}

async function createSite(t: Teardown): Promise<sites.SmallSite> {
  const site = new sites.SmallSite(t);
  site.answersProbes = true;
  await site.start(3);
  return site;
}

async function declareAndList(site: sites.SmallSite): Promise<void> {
  const version = await site.declare({});
  await site.until('in force', () => site.entry.store.getVersion() === version);
  const count = site.list.upstreams.length;
  await site.until(
    'listed',
    () =>
      site.entry.isReady() &&
      site.entry.directory.listLive('app').length +
        site.entry.directory.listLive('engines').length ===
        count,
  );
}

void tap.default.test(
  'routed calls are admitted and sent, and their answers checked',
  async (t) => {
    const site = await createSite(t);
    const seen: http.IncomingHttpHeaders[] = [];
    const answers: { status: number; body: string }[] = [];
    await site.addUpstream('app-1', 'app', (req, res) => {
      seen.push(req.headers);
      const next = answers.shift() ?? { status: 200, body: 'ok' };
      reply(req, res, next.status, next.body);
    });

    await t.test('a call before the first declaration is refused as not run', async (t2) => {
      const res = await site.call('/plain/x');
      t2.equal(res.status, 503);
      t2.ok(Number(res.headers['retry-after']) > 0, 'with the time of a retry');
    });
    await declareAndList(site);

    await t.test('a call reaches its upstream with its ID and its team', async (t2) => {
      const res = await site.call('/plain/x', { patience: '900', 'call-id': 'c7' });
      t2.same([res.status, res.body], [200, 'ok']);
      const head = seen.at(-1)!;
      t2.same([head['meant-for'], head.team, head['call-id']], ['app-1', 'sales', 'c7']);
      t2.ok(Number(head['left-ms']) <= 900, 'with the remaining time');
      t2.equal(head.key, undefined, 'and without the key');
    });

    await t.test('calls that are not allowed are refused by their headers', async (t2) => {
      const cases = [
        { name: 'no such path', path: '/none/x', headers: {}, status: 404 },
        { name: 'no such host', path: '/plain/x', headers: { host: 'other.example' }, status: 404 },
        { name: 'an unknown key', path: '/plain/x', headers: { key: 'stolen' }, status: 401 },
        {
          name: 'headers that are too large',
          path: '/plain/x',
          headers: { a: 'b'.repeat(9_000) },
          status: 431,
        },
      ];
      for (const { name, path, headers, status } of cases) {
        t2.equal((await site.call(path, headers)).status, status, name);
      }
      const large = await site.call('/plain/x', {}, 'x'.repeat(20_000));
      t2.equal(large.status, 413, 'a body that is too large');
    });

    await t.test('an upstream failure is returned unchanged if no retry is allowed', async (t2) => {
      answers.push({ status: 500, body: 'broken' });
      const res = await site.call('/once/x', {}, 'book');
      t2.same([res.status, res.body], [500, 'broken']);
    });
  },
);

// Guards against an upstream whose speed is never learned, or is learned from answers that did no work.
void tap.default.test('the time and the load of an answer are recorded', async (t) => {
  const site = await createSite(t);
  const load = JSON.stringify({ running: 1, waiting: 0, slots: 4, slowdown: 2.5 });
  const statuses = [500, 404, 200];
  await site.addUpstream('app-1', 'app', (req, res) => {
    res.setHeader('stated-load', load);
    reply(req, res, statuses.shift()!, 'ok');
  });
  await declareAndList(site);
  const { serviceTime } = site.entry.directory.find('app-1')!.load;
  for (const isServed of [false, false, true]) {
    const startedAt = performance.now();
    await site.call('/once/x', {}, 'book');
    const tookMs = performance.now() - startedAt;
    const usualMs = serviceTime.getUsualMs();
    t.equal(usualMs !== undefined, isServed, 'only an answer that is a success counts');
    t.ok(usualMs === undefined || usualMs <= tookMs / 2.5 + 1, 'without the stated slowdown');
  }
});

void tap.default.test('a call that may have run is not refused as not run', async (t) => {
  // The upstream reads the call and resets the connection. The status must not be 503, which means that the caller may
  // safely send the call again.
  const site = await createSite(t);
  let runs = 0;
  await site.addUpstream('app-1', 'app', (req) => {
    runs += 1;
    req.socket.resetAndDestroy();
  });
  await site.addUpstream('app-2', 'app', (req) => {
    runs += 1;
    req.socket.resetAndDestroy();
  });
  await declareAndList(site);
  const once = await site.call('/once/x', {}, 'book');
  t.same([once.status, runs], [502, 1], 'sent once, outcome unknown');
  const plain = await site.call('/plain/x');
  t.same(
    [plain.status, runs],
    [502, 3],
    'a call that may be repeated is tried at two upstreams and no more',
  );
});

void tap.default.test(
  'a refused call is tried elsewhere, and a reused address is detected',
  async (t) => {
    const site = await createSite(t);
    let refusals = 0;
    await site.addUpstream('app-1', 'app', (_req, res) => {
      refusals += 1;
      res.writeHead(421, { 'not-run': 'moved' });
      res.end();
    });
    await site.addUpstream('app-2', 'app', (req, res) => reply(req, res, 200, 'ok'));
    await declareAndList(site);
    for (let i = 0; i < 10; i += 1) {
      t.equal((await site.call('/once/x', {}, 'book')).status, 200);
    }
    t.ok(refusals <= 1, 'a process other than the listed one gets no further calls');
  },
);

void tap.default.test(
  'one refused connection does not exclude the last upstream of a service',
  async (t) => {
    // The upstream restarts: one call finds its port closed and is refused as not run. The next one, half a second
    // later, is served, although the list and the upstream's name are still the same.
    const site = await createSite(t);
    const address = await site.addUpstream('app-1', 'app', (req, res) =>
      reply(req, res, 200, 'ok'),
    );
    await declareAndList(site);
    site.closeUpstream(address);
    t.equal((await site.call('/once/x', {}, 'book')).status, 503);
    await site.reopenUpstream(address, (req, res) => reply(req, res, 200, 'back'));
    t.equal((await site.call('/once/x', {}, 'book')).body, 'back');
  },
);

void tap.default.test('a stream whose engine crashes is resumed from its backup', async (t) => {
  // The caller gets events 1 to 6, each once and in order. The engine crashes within event 4; the backup engine resumes
  // the generation after event 3, the last complete one.
  const site = await createSite(t);
  const resumedFrom: (string | undefined)[] = [];
  const priorities: (string | undefined)[] = [];
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    priorities.push(req.headers.urgency?.toString());
    res.writeHead(200, { 'call-id': req.headers['call-id'], 'content-type': 'text/event-stream' });
    if (req.headers['resume-from'] === undefined) {
      res.write(`${event(1)}${event(2)}${event(3)}id: 4\nda`);
      setTimeout(() => req.socket.resetAndDestroy(), 50);
      return;
    }
    resumedFrom.push(req.headers['last-event-id']?.toString());
    res.end([4, 5, 6].map(event).join(''));
  };
  await site.addUpstream('e-1', 'engines', serve);
  await site.addUpstream('e-2', 'engines', serve);
  await declareAndList(site);
  const res = await site.call('/drafts/x', { tokens: '400' }, 'write');
  t.equal(res.body, [1, 2, 3, 4, 5, 6].map(event).join(''));
  t.same(resumedFrom, ['3']);
  t.same(
    priorities,
    [undefined, undefined],
    'placed by the leader, it has no priority and preempts no other',
  );
});

void tap.default.test('a stream whose backup engine leaves gets another copy', async (t) => {
  // The backup engine and the engine that runs the stream both leave. The KV cache is copied to a third engine and the
  // run is stopped; when the running engine crashes, the stream is resumed from the last copy.
  const site = await createSite(t);
  let resumedFrom: string | undefined;
  const stream = new TickingStream();
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    if (req.headers['resume-from'] === undefined) {
      stream.serve(req, res);
      return;
    }
    resumedFrom = req.headers['resume-from'].toString();
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.end(event(Number(req.headers['last-event-id']) + 1));
  };
  await site.addUpstream('e-1', 'engines', serve);
  await site.addUpstream('e-2', 'engines', serve);
  await declareAndList(site);
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
  await site.addUpstream('e-3', 'engines', serve);
  await site.until('stopped', () => site.lines.some((line) => line.decision === 'hand-over'));
  stream.crash();
  const { body } = await answer;
  t.equal(body, listEvents(body.split('id: ').length - 1), 'each event once and in order');
  const [copy] = site.engines.copies;
  t.same(
    site.engines.copies.map(({ isLast }) => isLast),
    [false, true],
  );
  t.equal(resumedFrom, `${copy!.sourceAddress}/copy-2`);
});

void tap.default.test('a run goes on at a leaving engine only for so long', async (t) => {
  // Guards against a request to an engine that may end at any moment, which would cut the caller's stream once more.
  for (const { waitMs, resumes } of [
    { waitMs: 500, resumes: 1 },
    { waitMs: LEAVING_MS + 200, resumes: 0 },
  ]) {
    const site = await createSite(t);
    let resumed = 0;
    const stream = new TickingStream();
    const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
      if (req.headers['resume-from'] === undefined) {
        stream.serve(req, res);
        return;
      }
      resumed += 1;
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.end(event(Number(req.headers['last-event-id']) + 1));
    };
    await site.addUpstream('e-1', 'engines', serve);
    await site.addUpstream('e-2', 'engines', serve);
    await declareAndList(site);
    const answer = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => undefined);
    await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
    const { copyAt } = site.lines.find((line) => line.decision === 'route')!;
    site.list.upstreams = site.list.upstreams.map((item) => ({
      ...item,
      isLeaving: item.upstreamId === copyAt,
    }));
    await site.until('listed', () => site.entry.directory.isLeaving(String(copyAt)));
    await new Promise((resolve) => {
      setTimeout(resolve, waitMs);
    });
    stream.crash();
    await answer;
    t.equal(resumed, resumes, `${waitMs} ms after the list has shown it`);
  }
});

void tap.default.test(
  'an engine that reports that it is leaving gets no new work before the list shows it',
  async (t) => {
    // The engine has two seconds after its notice, and the list lags by a second. Its run's KV cache is copied at once,
    // and it gets no new work; here the list never changes.
    const site = await createSite(t);
    const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.write('id: 1\ndata: a\n\n');
    };
    const leaving = await site.addUpstream('e-1', 'engines', serve);
    await declareAndList(site);
    const answer = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => 'left');
    await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
    const targetAddress = await site.addUpstream('e-2', 'engines', serve);
    const listLive = () => site.entry.directory.listLive('engines').map((item) => item.upstreamId);
    await site.until('listed', () => listLive().length === 2);
    site.reportLeaving.add(leaving);
    await site.until('excluded from new work', () => listLive().join() === 'e-2');
    await site.until('copied', () => site.lines.some((line) => line.decision === 'copy'));
    t.equal(site.engines.copies[0]!.targetAddress, targetAddress);
    site.disconnectCallers();
    await answer;
  },
);

void tap.default.test(
  'a copy is made to an engine with capacity, once the run has begun',
  async (t) => {
    // An engine is leaving. At first it has not begun the run, which is no reason to choose another target engine; then
    // the target engine has no capacity, and another one takes the copy before the leaving engine has stopped.
    const site = await createSite(t);
    const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.write('id: 1\ndata: a\n\n');
    };
    await site.addUpstream('e-1', 'engines', serve);
    await declareAndList(site);
    site.engines.refusals.push('no-run', 'no-room');
    const answer = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => 'left');
    await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
    site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
    await site.addUpstream('e-2', 'engines', serve);
    await site.addUpstream('e-3', 'engines', serve);
    await site.until('copied', () => site.lines.some((line) => line.decision === 'copy'));
    const [early, full] = site.engines.refused;
    t.equal(full, early, 'the same target engine is tried again');
    t.not(site.engines.copies[0]!.targetAddress, full, 'and another one when it has no capacity');
    site.disconnectCallers();
    await answer;
  },
);

void tap.default.test('a copy made for a migration and not needed is released', async (t) => {
  // An engine is leaving and its run's KV cache is copied, but the run ends before the engine has stopped. The copy
  // would take the memory of another long generation for five more seconds, even when all capacity is needed.
  const site = await createSite(t);
  const stream = new TickingStream();
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => stream.serve(req, res);
  const sourceAddress = await site.addUpstream('e-1', 'engines', serve);
  await declareAndList(site);
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
  await site.addUpstream('e-2', 'engines', serve);
  await site.until('copied', () => site.lines.some((line) => line.decision === 'hand-over'));
  stream.finish();
  t.equal((await answer).body, listEvents(stream.count));
  await site.until('released', () => site.engines.dropped.length > 0);
  t.same(site.engines.dropped, [`${sourceAddress}/copy-2`], 'by the handle of the last copy');
});

void tap.default.test('a run migrates from an engine that is leaving', async (t) => {
  // The engine reports that it is leaving. Its run's KV cache is copied while the stream continues; then the engine is
  // ordered to stop the run, which truncates the stream, and the run is resumed at the other engine after the last
  // event. The caller gets each event once, with a short gap.
  const site = await createSite(t);
  const resumed: (string | undefined)[] = [];
  let stop = () => {};
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    if (req.headers['resume-from'] === undefined) {
      res.write(event(1));
      stop = () => req.socket.destroy();
      return;
    }
    resumed.push(req.headers['resume-from'].toString(), req.headers['last-event-id']?.toString());
    res.end(event(2));
  };
  const sourceAddress = await site.addUpstream('e-1', 'engines', serve);
  await declareAndList(site);
  site.engines.onCopy = ({ isLast }) => {
    if (isLast) {
      stop();
    }
  };
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
  await site.addUpstream('e-2', 'engines', serve);
  const listLive = () => site.entry.directory.listLive('engines').length;
  await site.until('listed', () => listLive() === 2);
  site.reportLeaving.add(sourceAddress);
  t.equal((await answer).body, event(1) + event(2));
  t.same(resumed, [`${sourceAddress}/copy-2`, '1']);
});

void tap.default.test(
  'a stream is resumed without a backup if its route allows another run',
  async (t) => {
    // A short answer has no backup. Its engine crashes within event 2; the route allows a second run after the last
    // complete event, so another engine resumes. Where the route allows only one run, the caller's connection breaks.
    const site = await createSite(t);
    const resumedFrom: (string | undefined)[] = [];
    const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      if (req.headers['last-event-id'] === undefined) {
        res.write(`${event(1)}id: 2\nda`);
        setTimeout(() => req.socket.resetAndDestroy(), 50);
        return;
      }
      resumedFrom.push(req.headers['last-event-id'].toString());
      res.end(event(2));
    };
    await site.addUpstream('e-1', 'engines', serve);
    await site.addUpstream('e-2', 'engines', serve);
    await declareAndList(site);
    const res = await site.call('/checks/x', { tokens: '20' }, 'check');
    t.equal(res.body, event(1) + event(2));
    t.same(resumedFrom, ['1']);
    await t.rejects(site.call('/drafts/x', { tokens: '20', 'call-id': 'c2' }, 'write'));
  },
);

void tap.default.test('a stream ends when its engine has restarted', async (t) => {
  // The engine crashes behind a network partition and restarts under its name: the connection stays open and silent.
  // The list shows the new start time. The run is lost, and the caller's stream ends at once instead of at its
  // deadline.
  const site = await createSite(t);
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('id: 1\ndata: a\n\n');
  };
  await site.addUpstream('e-1', 'engines', serve);
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, bornMs: 1_000 }));
  await declareAndList(site);
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  const refused = t.rejects(answer);
  await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, bornMs: 2_000 }));
  await refused;
  t.ok(site.lines.some((line) => line.event === 'upstream-reborn'));
  const outcome = site.lines.find((line) => line.decision === 'outcome');
  t.match(outcome?.err, /started again/, 'and not because of its deadline');
});

void tap.default.test('a silent stream with a backup is resumed elsewhere', async (t) => {
  // The engine is behind a network partition: the connection stays open and silent. The caller would give up after some
  // seconds; the stream is resumed from the backup before that.
  const site = await createSite(t);
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    if (req.headers['resume-from'] === undefined) {
      res.write(event(1));
    } else {
      res.end(event(2));
    }
  };
  await site.addUpstream('e-1', 'engines', serve);
  await site.addUpstream('e-2', 'engines', serve);
  await declareAndList(site);
  const res = await site.call('/drafts/x', { tokens: '400' }, 'write');
  t.equal(res.body, event(1) + event(2));
});

void tap.default.test(
  'a stream without a backup is truncated and does not look complete',
  async (t) => {
    const site = await createSite(t);
    await site.addUpstream('e-1', 'engines', (req, res) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.write('id: 1\ndata: a\n\n');
      setTimeout(() => req.socket.resetAndDestroy(), 50);
    });
    await declareAndList(site);
    await t.rejects(site.call('/drafts/x', { tokens: '400' }, 'write'));
  },
);

void tap.default.test('the disconnect of a caller ends its run at once', async (t) => {
  const site = await createSite(t);
  let isClosed = false;
  await site.addUpstream('e-1', 'engines', (req, res) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('id: 1\ndata: a\n\n');
    req.socket.on('close', () => {
      isClosed = true;
    });
  });
  await declareAndList(site);
  const left = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => 'left');
  await site.until('started', () => site.lines.some((line) => line.decision === 'route'));
  site.disconnectCallers();
  t.equal(await left, 'left');
  await site.until('ended at the engine', () => isClosed);
  // The route's timeout would end it too, but much later.
  await site.until('logged', () => site.lines.some((line) => line.decision === 'outcome'));
  t.equal(site.lines.find((line) => line.decision === 'outcome')?.outcome, 'caller-left');
});

void tap.default.test('a call without an answer is refused at its deadline', async (t) => {
  const site = await createSite(t);
  await site.addUpstream('app-1', 'app', () => {});
  await declareAndList(site);
  const res = await site.call('/once/x', { patience: '300' }, 'book');
  t.equal(res.status, 504);
});

void tap.default.test('a planned stop finishes running calls', async (t) => {
  const site = await createSite(t);
  const finish: (() => void)[] = [];
  await site.addUpstream('app-1', 'app', (req, res) => {
    finish.push(() => reply(req, res, 200, 'late'));
  });
  await declareAndList(site);
  const call = site.call('/once/x', {}, 'book');
  await site.until('at the upstream', () => finish.length === 1);
  const stopped = site.entry.stop();
  t.equal(site.entry.isReady(), false, 'readiness fails first');
  setTimeout(() => finish[0]!(), 300);
  t.equal((await call).body, 'late');
  await stopped;
});

void tap.default.test(
  'late in a planned stop, new calls that could not finish are refused',
  async (t) => {
    // The host is stopped while a long call runs. A caller with a kept-alive connection sends another call long after
    // the load balancer has removed the host. That call is refused as not run, and the long one finishes.
    const site = await createSite(t);
    const finish: (() => void)[] = [];
    await site.addUpstream('app-1', 'app', (req, res) => {
      finish.push(() => reply(req, res, 200, 'long'));
    });
    await declareAndList(site);
    const long = site.call('/once/x', {}, 'book');
    await site.until('at the upstream', () => finish.length === 1);
    const stopped = site.entry.stop();
    await new Promise((resolve) => {
      setTimeout(resolve, 3_100);
    });
    const late = await site.call('/once/x', { 'call-id': 'c2' }, 'book');
    t.same([late.status, late.headers.connection], [503, 'close']);
    t.equal(finish.length, 1, 'and it has not reached the upstream');
    finish[0]!();
    t.equal((await long).body, 'long');
    await stopped;
  },
);

void tap.default.test('metrics and log lines show how calls ended', async (t) => {
  // An operator who gets the ID of a failed call finds its upstream and the reason in the log lines with this ID; the
  // metrics show how many calls failed the same way.
  const site = await createSite(t);
  let cut = () => {};
  await site.addUpstream('app-1', 'app', (req, res) => reply(req, res, 200, 'ok'));
  await site.addUpstream('e-1', 'engines', (req, res) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('id: 1\ndata: a\n\n');
    cut = () => req.socket.resetAndDestroy();
  });
  await declareAndList(site);
  await site.call('/plain/x', { 'call-id': 'good' });
  await site.call('/none/x', { 'call-id': 'nowhere' });
  const generation = site.call('/drafts/x', { 'call-id': 'cut', tokens: '400' }, 'write');
  const ended = generation.catch(() => 'cut');
  // A reset that is received together with the event would end the attempt before its answer began.
  await site.until('started', async () =>
    /first_event_ms_count\{route="drafts"\} 1/.test(await site.metrics.render()),
  );
  cut();
  await ended;
  await site.until('logged', () => site.lines.some((line) => line.outcome === 'incomplete'));
  const about = (id: string) => site.lines.filter((line) => line.request === id);
  t.match(about('good').at(-1), { decision: 'outcome', outcome: 'complete', upstream: 'app-1' });
  t.match(about('nowhere'), [{ decision: 'refuse', reason: 'noRoute', status: 404 }]);
  t.match(about('cut').at(-1), { decision: 'outcome', outcome: 'incomplete', upstream: 'e-1' });
  const getCause = (id: string) => telemetry.explainCall(site.lines, id).cause;
  t.match(getCause('nowhere'), /^refused from its head with status 404: noRoute/);
  t.equal(getCause('cut'), 'engine e-1 broke off, and there was no copy');
  t.match(getCause('good'), /^complete with status 200 in \d+ ms/);
  const text = await site.metrics.render();
  t.match(text, /calls_total\{route="plain",outcome="complete",reason="none"\} 1/);
  t.match(text, /calls_total\{route="drafts",outcome="incomplete",reason="none"\} 1/);
  t.match(text, /refusals_total\{reason="noRoute"\} 1/);
  t.match(text, /first_event_ms_count\{route="drafts"\} 1/);
  t.match(text, /upstreams_live 2/);
});
