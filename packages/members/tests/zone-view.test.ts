import * as members from '@bramleyridge/members';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const upstream: schemas.Upstream = {
  upstreamId: 'app-1',
  kind: 'service',
  service: 'app',
  availabilityZone: 'a',
  url: 'http://127.0.0.1:1',
  state: 'live',
  checksFencing: false,
};

// Guards against a zone without upstreams when its relay stops as planned: its hosts would refuse every call.
void tap.default.test(
  'a host that gives up the role of the relay keeps its directory',
  async (t) => {
    let isLeaving = false;
    const view = new members.ZoneView(
      () => ({
        daemonId: 'a-1',
        incarnation: 1,
        availabilityZone: 'a',
        host: '127.0.0.1',
        peerPort: 1,
        callerPort: 2,
        isLeaving,
        revision: 0,
      }),
      new schemas.VirtualClock(),
      1_000,
    );
    view.setRelay(true);
    view.setRelay(false);
    t.notOk(view.hasUpstreamList(), 'without a list it has nothing to keep');
    view.setRelay(true);
    view.setUpstreams([upstream]);
    isLeaving = true;
    view.setRelay(false);
    t.ok(view.hasUpstreamList());
    const directory = view.getDirectory();
    t.same(directory.upstreams, [upstream]);
    t.same(
      directory.members.map((item) => [item.daemonId, item.isLeaving]),
      [['a-1', true]],
      'and says that it leaves',
    );
    const next = { ...directory, stamp: 'next', upstreams: [] };
    view.receiveDirectory(next);
    t.same(view.getDirectory(), next, 'until the next relay answers');
  },
);
