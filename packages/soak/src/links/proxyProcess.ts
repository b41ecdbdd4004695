// The proxy of the links, in a process of its own: neither callers nor endpoints make it late.
import type { ProxyCall } from './links.js';
import { LinkProxy } from './proxy.js';

const proxy = new LinkProxy();

process.on('message', (call: ProxyCall) => {
  if (call.kind === 'harm') proxy.harm(call.links, call.harm, call.forMs);
  else if (call.kind === 'close') {
    proxy.close(call.address);
    process.send?.(call.address);
  } else void proxy.open(call.address, call.host).then(() => process.send?.(call.address));
});
process.on('disconnect', () => proxy.stop());
