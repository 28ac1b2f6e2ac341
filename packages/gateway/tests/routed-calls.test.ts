import type * as http from 'node:http';

import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

import * as sites from './support/small-site.js';

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** Answers a call as the upstream that was meant. */
function reply(req: http.IncomingMessage, res: http.ServerResponse, status: number, body: string) {
  res.writeHead(status, { 'call-id': req.headers['call-id'], 'content-length': body.length });
  res.end(body);
}

/** Writes the event with a number. */
function event(n: number): string {
  return `id: ${n}\ndata: part ${n}\n\n`;
}

/** All events up to a number. */
function listEvents(count: number): string {
  return Array.from({ length: count }, (_, n) => event(n + 1)).join('');
}

/**
 * An engine's stream that goes on until it is ended. One that stands still goes on from its copy after 1.5 s, which on a
 * busy machine is sooner than what the test waits for.
 */
class TickingStream {
  public count = 0;
  private end: (how: 'finish' | 'die') => void = () => {};

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

  /** Ends it well. */
  public finish(): void {
    this.end('finish');
  }

  /** Resets its connection, as an engine that dies does. */
  public die(): void {
    this.end('die');
  }
}

async function createSite(t: Teardown): Promise<sites.SmallSite> {
  const site = new sites.SmallSite(t);
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

void tap.default.test('routed calls are admitted, sent and judged', async (t) => {
  const site = await createSite(t);
  const seen: http.IncomingHttpHeaders[] = [];
  const answers: { status: number; body: string }[] = [];
  await site.addUpstream('app-1', 'app', (req, res) => {
    seen.push(req.headers);
    const next = answers.shift() ?? { status: 200, body: 'ok' };
    reply(req, res, next.status, next.body);
  });

  await t.test('before anything is declared a call is told that it has not run', async (t2) => {
    const res = await site.call('/plain/x');
    t2.equal(res.status, 503);
    t2.ok(Number(res.headers['retry-after']) > 0, 'and when to come back');
  });
  await declareAndList(site);

  await t.test('a call reaches an upstream under its identity and its team', async (t2) => {
    const res = await site.call('/plain/x', { patience: '900', 'call-id': 'c7' });
    t2.same([res.status, res.body], [200, 'ok']);
    const head = seen.at(-1)!;
    t2.same([head['meant-for'], head.team, head['call-id']], ['app-1', 'sales', 'c7']);
    t2.ok(Number(head['left-ms']) <= 900, 'with the time that is left');
    t2.equal(head.key, undefined, 'and without the key');
  });

  await t.test('what may not pass is refused from the head', async (t2) => {
    const cases = [
      { name: 'no such path', path: '/none/x', headers: {}, status: 404 },
      { name: 'no such host', path: '/plain/x', headers: { host: 'other.example' }, status: 404 },
      { name: 'an unknown key', path: '/plain/x', headers: { key: 'stolen' }, status: 401 },
      {
        name: 'headers too large',
        path: '/plain/x',
        headers: { a: 'b'.repeat(9_000) },
        status: 431,
      },
    ];
    for (const { name, path, headers, status } of cases) {
      t2.equal((await site.call(path, headers)).status, status, name);
    }
    const large = await site.call('/plain/x', {}, 'x'.repeat(20_000));
    t2.equal(large.status, 413, 'a body too large');
  });

  await t.test(
    'an upstream failure is passed on unchanged where nothing else may be tried',
    async (t2) => {
      answers.push({ status: 500, body: 'broken' });
      const res = await site.call('/once/x', {}, 'book');
      t2.same([res.status, res.body], [500, 'broken']);
    },
  );
});

void tap.default.test(
  'a call that runs once is never told to have not run when it may have',
  async (t) => {
    // The upstream reads the call and resets the connection; the caller must not be told 503, which means that
    // it may send the call again without harm.
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
      'a call that may be repeated is tried at two, and not at more',
    );
  },
);

void tap.default.test(
  'what an upstream refused is tried elsewhere, and an address used again is found out',
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
    t.ok(refusals <= 1, 'a process that is not the one that was listed gets nothing more');
  },
);

void tap.default.test(
  'the last upstream of a service is not passed over for one refused connection',
  async (t) => {
    // It restarts: one call finds nobody listening and is told that it has not run; the next one, half a second
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

void tap.default.test('a stream whose engine dies goes on from its copy', async (t) => {
  // The caller gets events 1 to 6, each once and in order. The engine dies inside event 4; another holds a copy
  // of the generation and goes on behind event 3, the last one that came whole.
  const site = await createSite(t);
  const resumedFrom: (string | undefined)[] = [];
  const ranks: (string | undefined)[] = [];
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    ranks.push(req.headers.urgency?.toString());
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
  t.same(ranks, [undefined, undefined], 'placed by the leader, it preempts nobody');
});

void tap.default.test('a stream whose copy is lost first gets another', async (t) => {
  // The engine that keeps the copy leaves, and then the one that runs the stream; the run is copied anew and told to
  // stop, and when the running engine dies the stream goes on from the copy that was made last.
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
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
  await site.addUpstream('e-3', 'engines', serve);
  await site.until('stopped', () => site.lines.some((line) => line.decision === 'hand-over'));
  stream.die();
  const { body } = await answer;
  t.equal(body, listEvents(body.split('id: ').length - 1), 'each event once and in order');
  const [copy] = site.engines.copies;
  t.same(
    site.engines.copies.map(({ isLast }) => isLast),
    [false, true],
  );
  t.equal(resumedFrom, `${copy!.sourceAddress}/copy-2`);
});

void tap.default.test(
  'an engine that says that it leaves is left before the list shows it',
  async (t) => {
    // It has two seconds from its notice, and the list is a second late. Its run is copied at once, and no new work goes
    // there meanwhile; the list never changes here.
    const site = await createSite(t);
    const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
      res.writeHead(200, { 'call-id': req.headers['call-id'] });
      res.write('id: 1\ndata: a\n\n');
    };
    const leaving = await site.addUpstream('e-1', 'engines', serve);
    await declareAndList(site);
    const answer = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => 'left');
    await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
    const holder = await site.addUpstream('e-2', 'engines', serve);
    const listLive = () => site.entry.directory.listLive('engines').map((item) => item.upstreamId);
    await site.until('listed', () => listLive().length === 2);
    site.reportLeaving.add(leaving);
    await site.until('left by new work', () => listLive().join() === 'e-2');
    await site.until('copied', () => site.lines.some((line) => line.decision === 'copy'));
    t.equal(site.engines.copies[0]!.targetAddress, holder);
    site.disconnectCallers();
    await answer;
  },
);

void tap.default.test('a copy goes where there is room, once the run has begun', async (t) => {
  // An engine leaves. At first it has not begun with the run, which is no reason to ask for another holder; then the
  // holder has no room, and another takes the copy before the engine is gone.
  const site = await createSite(t);
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('id: 1\ndata: a\n\n');
  };
  await site.addUpstream('e-1', 'engines', serve);
  await declareAndList(site);
  site.engines.refusals.push('no-run', 'no-room');
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write').catch(() => 'left');
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
  await site.addUpstream('e-2', 'engines', serve);
  await site.addUpstream('e-3', 'engines', serve);
  await site.until('copied', () => site.lines.some((line) => line.decision === 'copy'));
  const [early, full] = site.engines.refused;
  t.equal(full, early, 'the same holder is asked again');
  t.not(site.engines.copies[0]!.targetAddress, full, 'and another one when it is full');
  site.disconnectCallers();
  await answer;
});

void tap.default.test('a copy that was made on order and not needed is freed', async (t) => {
  // An engine leaves and its run is copied, but ends before the engine is gone. The copy would take the room of
  // another draft for five seconds more, on days when every place counts.
  const site = await createSite(t);
  const stream = new TickingStream();
  const serve = (req: http.IncomingMessage, res: http.ServerResponse) => stream.serve(req, res);
  const runner = await site.addUpstream('e-1', 'engines', serve);
  await declareAndList(site);
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, isLeaving: true }));
  await site.addUpstream('e-2', 'engines', serve);
  await site.until('copied', () => site.lines.some((line) => line.decision === 'hand-over'));
  stream.finish();
  t.equal((await answer).body, listEvents(stream.count));
  await site.until('freed', () => site.engines.dropped.length > 0);
  t.same(site.engines.dropped, [`${runner}/copy-2`], 'by the name that it had last');
});

void tap.default.test('a run is handed over by an engine that leaves', async (t) => {
  // The engine says that it leaves. The memory of its run is copied while the stream goes on; then the engine is told to
  // stop it, which ends the stream without its end, and it goes on at the other engine behind the last event.
  // The caller gets each event once and notices a short pause.
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
  const runner = await site.addUpstream('e-1', 'engines', serve);
  await declareAndList(site);
  site.engines.onCopy = ({ isLast }) => {
    if (isLast) {
      stop();
    }
  };
  const answer = site.call('/drafts/x', { tokens: '400' }, 'write');
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  await site.addUpstream('e-2', 'engines', serve);
  const listLive = () => site.entry.directory.listLive('engines').length;
  await site.until('listed', () => listLive() === 2);
  site.reportLeaving.add(runner);
  t.equal((await answer).body, event(1) + event(2));
  t.same(resumed, [`${runner}/copy-2`, '1']);
});

void tap.default.test('a stream that may be resumed goes on without a copy', async (t) => {
  // A short answer has no copy. Its engine dies inside event 2; the route allows a second run behind the last event that
  // came whole, so another engine goes on. Where the route allows one run only, the caller is told that it broke off.
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
});

void tap.default.test('a stream ends when its engine has started again', async (t) => {
  // The engine crashes behind a cut and starts again under its name: the connection stands and nothing comes. The list
  // tells of the new start. The run is gone, and the caller is told so at once instead of waiting for all of its time.
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
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  site.list.upstreams = site.list.upstreams.map((item) => ({ ...item, bornMs: 2_000 }));
  await refused;
  t.ok(site.lines.some((line) => line.event === 'upstream-reborn'));
  const outcome = site.lines.find((line) => line.decision === 'outcome');
  t.match(outcome?.err, /started again/, 'and not because its time is over');
});

void tap.default.test('a silent stream with a copy goes on elsewhere', async (t) => {
  // The engine is behind a partition: the connection stands and nothing comes. The caller would give up after
  // some seconds; the stream goes on from the copy before that.
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

void tap.default.test('a stream without a copy ends broken, never complete', async (t) => {
  const site = await createSite(t);
  await site.addUpstream('e-1', 'engines', (req, res) => {
    res.writeHead(200, { 'call-id': req.headers['call-id'] });
    res.write('id: 1\ndata: a\n\n');
    setTimeout(() => req.socket.resetAndDestroy(), 50);
  });
  await declareAndList(site);
  await t.rejects(site.call('/drafts/x', { tokens: '400' }, 'write'));
});

void tap.default.test('a caller that leaves ends the work for it at once', async (t) => {
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
  await site.until('under way', () => site.lines.some((line) => line.decision === 'route'));
  site.disconnectCallers();
  t.equal(await left, 'left');
  await site.until('ended at the engine', () => isClosed);
  // The route's own time would end it too, only much later.
  await site.until('told', () => site.lines.some((line) => line.decision === 'outcome'));
  t.equal(site.lines.find((line) => line.decision === 'outcome')?.outcome, 'caller-left');
});

void tap.default.test(
  'an answer that does not come in time gets its final answer then',
  async (t) => {
    const site = await createSite(t);
    await site.addUpstream('app-1', 'app', () => {});
    await declareAndList(site);
    const res = await site.call('/once/x', { patience: '300' }, 'book');
    t.equal(res.status, 504);
  },
);

void tap.default.test('a planned stop finishes what runs', async (t) => {
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
  'late in a planned stop nothing new is taken that the end would cut',
  async (t) => {
    // The host is told to stop while a long call runs. A caller on a kept connection sends another when the balancer
    // has long gone elsewhere; it is told that this one has not run, and the long one is finished.
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
    t.equal(finish.length, 1, 'and it truly did not run');
    finish[0]!();
    t.equal((await long).body, 'long');
    await stopped;
  },
);

void tap.default.test('metrics and lines tell how calls ended', async (t) => {
  // Who is told of a failed call has its identifier, and from the lines with it the upstream and the reason; the
  // metrics show how many there are like it.
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
  const drafted = site.call('/drafts/x', { 'call-id': 'cut', tokens: '400' }, 'write');
  const ended = drafted.catch(() => 'cut');
  // A reset that is found together with the event would end the attempt before its answer began.
  await site.until('under way', async () =>
    /first_event_ms_count\{route="drafts"\} 1/.test(await site.metrics.render()),
  );
  cut();
  await ended;
  await site.until('told', () => site.lines.some((line) => line.outcome === 'incomplete'));
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
