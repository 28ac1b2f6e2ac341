import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';

import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const LIMIT = 1_000;

/** A caller's response whose state the test sets. */
class FakeResponse extends events.EventEmitter {
  public writableLength = 0;
  public writableFinished = false;
  public destroyed = false;
}

void tap.default.test('request, read answer, unread and unsent bytes are counted', async (t) => {
  // Guards against a kind of bytes that fills the memory of the host without being counted.
  const held = new requests.HeldBytes(() => LIMIT);
  const res = new FakeResponse();
  const call = held.begin(res);
  call.addRequest(300);
  call.addRequest(100);
  call.beginAnswer({ readableLength: 50 });
  call.addAnswer(20);
  t.equal(held.getBytes(), 470);
  call.passAnswer();
  res.writableLength = 20;
  t.equal(held.getBytes(), 470, 'a passed answer is not counted twice');
  call.beginAnswer({ readableLength: 5 });
  t.equal(held.getBytes(), 425, 'the next attempt replaces the answer of the former');
});

void tap.default.test('all calls count against one limit', async (t) => {
  // Guards against a limit for each call, which many calls exceed together.
  const held = new requests.HeldBytes(() => LIMIT);
  const calls = [new FakeResponse(), new FakeResponse()].map((res) => held.begin(res));
  calls.forEach((call) => call.addRequest(500));
  t.notOk(held.isFull(), 'the limit itself is allowed');
  calls[0]!.addRequest(1);
  t.ok(held.isFull());
});

void tap.default.test('a host without a limit is never full', async (t) => {
  // Guards against refusals where capacity sharing is not enabled, and a limit that needs a restart.
  let limit: number | undefined;
  const held = new requests.HeldBytes(() => limit);
  held.begin(new FakeResponse()).addRequest(1e9);
  t.notOk(held.isFull());
  limit = LIMIT;
  t.ok(held.isFull(), 'a changed limit takes effect at once');
});

void tap.default.test('an ended call counts until its caller has taken the answer', async (t) => {
  // Guards against answers that a slow caller has not read yet and nobody counts.
  const held = new requests.HeldBytes(() => LIMIT);
  const res = new FakeResponse();
  const call = held.begin(res);
  call.addRequest(400);
  call.beginAnswer({ readableLength: 30 });
  res.writableLength = 2_000;
  held.end(call, res);
  t.equal(held.getBytes(), 2_000, 'only the unsent bytes remain');
  t.ok(held.isFull());
  res.emit('close');
  t.equal(held.getBytes(), 0);
});

void tap.default.test('a closed call no longer counts', async (t) => {
  // Guards against a host that stays full because calls are never removed.
  const held = new requests.HeldBytes(() => LIMIT);
  const finished = new FakeResponse();
  const destroyed = new FakeResponse();
  const calls = [held.begin(finished), held.begin(destroyed)];
  finished.writableFinished = true;
  destroyed.destroyed = true;
  destroyed.writableLength = 5_000;
  t.equal(held.getBytes(), 0, 'a destroyed response holds nothing');
  destroyed.destroyed = false;
  held.end(calls[0]!, finished);
  destroyed.destroyed = true;
  held.end(calls[1]!, destroyed);
  destroyed.destroyed = false;
  t.equal(held.getBytes(), 0, 'and both are removed');
});

void tap.default.test('a decision at 1,000 calls takes less than 0.1 ms', async (t) => {
  // Guards against a check that delays each new call. 59 hosts with 10,000 runs have 170 each.
  const held = new requests.HeldBytes(() => Infinity);
  for (let i = 0; i < 1_000; i += 1) {
    held.begin(new http.ServerResponse(new http.IncomingMessage(new net.Socket())));
  }
  const times = Array.from({ length: 200 }, () => {
    const startedAt = performance.now();
    held.isFull();
    return performance.now() - startedAt;
  });
  const medianMs = times.sort((a, b) => a - b)[times.length / 2]!;
  t.comment(`${medianMs.toFixed(3)} ms`);
  t.ok(medianMs < 0.1);
});

void tap.default.test(
  'unfinished bodies beyond their share are given up, the largest first',
  async (t) => {
    // Guards against callers that hold the memory with bodies that they never end.
    const held = new requests.HeldBytes(() => 100 * 1_024);
    const givenUp: string[] = [];
    const begin = (name: string, kb: number) => {
      const call = held.begin(new FakeResponse());
      call.beginBody(() => givenUp.push(name));
      call.addRequest(kb * 1_024);
      return call;
    };
    begin('a', 30);
    begin('b', 40);
    t.same(givenUp, [], 'they fit');
    const small = begin('c', 10);
    t.same(givenUp, ['b']);
    t.equal(held.getBytes(), 40 * 1_024, 'its bytes are released');
    const whole = begin('d', 34);
    whole.endBody();
    begin('e', 16);
    t.same(givenUp, ['b', 'a'], 'a complete body is not given up');
    small.addRequest(5 * 1_024);
    begin('f', 20);
    t.same(givenUp, ['b', 'a', 'f'], 'nor are small ones');
  },
);
