import * as paths from '@bramleyridge/paths';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Addresses of the list that name one upstream in more than one way. */
const ADDRESSES = [
  '127.0.0.1:80',
  '127.0.0.1:8080',
  '127.0.0.1:08080',
  '127.0.0.1:00080',
  '[::1]:8080',
  '[0:0:0:0:0:0:0:1]:8080',
  '[::A]:8080',
];

// Guards against resets, silence and blocked paths that are recorded under another address than the one calls go by.
void tap.default.test('calls and connections go by the same address', async (t) => {
  for (const address of ADDRESSES) {
    const opened: string[] = [];
    const dialer = {
      dial: (dialed: string) => {
        opened.push(dialed);
        return Promise.reject(new Error('refused'));
      },
    };
    const links = paths.createOwnLinks({ connectMs: 300, dialer });
    const client = links.createClient(`http://${address}`);
    await client.request({ method: 'GET', path: '/' }).catch(() => {});
    const { data } = schemas.address.safeParse(address);
    t.same(opened, [data], address);
    await client.destroy();
    await links.close();
  }
});
