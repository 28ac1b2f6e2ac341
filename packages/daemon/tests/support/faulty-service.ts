import * as deployments from './small-deployment.js';

const { sales } = deployments.TOKENS;

/** Time limit of a caller, in milliseconds. */
const PATIENCE_MS = 6_000;

interface Teardown {
  teardown(handler: () => unknown): void;
}

/** What a caller saw of an answer. */
export interface Seen {
  readonly status: number;
  readonly tookMs: number;
}

/** Calls a service; resolves to status 0 without a whole answer. */
export async function callService(url: string, service: string, target: string): Promise<Seen> {
  const startedAt = performance.now();
  const isPost = target.startsWith('confirms');
  const res = await fetch(`${url}/services/${service}/${target}`, {
    method: isPost ? 'POST' : 'GET',
    headers: { authorization: `Bearer ${sales}` },
    signal: AbortSignal.timeout(PATIENCE_MS),
    ...(isPost ? { body: JSON.stringify({ booking: target }) } : {}),
  })
    .then(async (answer) => answer.text().then(() => answer))
    .catch(() => undefined);
  return { status: res?.status ?? 0, tookMs: performance.now() - startedAt };
}

/** Starts a deployment in which another service is declared. */
export async function startDeployment(t: Teardown): Promise<deployments.SmallDeployment> {
  const deployment = new deployments.SmallDeployment(['a', 'b', 'c'], 2);
  await deployment.start(t);
  // A service can be declared only where it is listed; the upstreams of the cases take the place of these.
  const placeholders = deployment.upstreams
    .filter(({ kind }) => kind === 'service')
    .map((item) => ({ ...item, upstreamId: `${item.upstreamId}-faulty`, service: 'faulty' }));
  deployment.platform.set([...deployment.upstreams, ...placeholders]);
  const files = deployment.createFiles();
  const added = files
    .filter((file) => file.kind === 'service')
    .map((file) => ({ ...file, name: 'faulty' }));
  await deployment.waitUntil('declared', async () =>
    deployment.apply([...files, ...added]).then(
      () => true,
      () => false,
    ),
  );
  return deployment;
}

/** Lists these upstreams beside the sound ones, and waits until the first daemon knows the given one. */
export async function list(
  deployment: deployments.SmallDeployment,
  upstreams: deployments.SmallDeployment['upstreams'],
  upstreamId: string,
): Promise<void> {
  deployment.platform.set(upstreams);
  await deployment.waitUntil(upstreamId, () =>
    deployment.running[0]!.daemon.view.getDirectory().upstreams.some(
      (item) => item.upstreamId === upstreamId,
    ),
  );
}
