/** Measures how much the kernel buffers for a connection on loopback whose receiver reads nothing. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

const chunk = Buffer.alloc(16 * 1024);
/** Time in milliseconds without progress after which the buffers are full. */
const settlingTime = 200;

/** Returns the number of bytes that a sender gets rid of. */
export async function measureSocketCapacity(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const receiver = connect((server.address() as AddressInfo).port, '127.0.0.1').pause();
  const [sender] = (await once(server, 'connection')) as [Socket];
  let sentCount = 0;
  const sendNext = (): void => {
    sender.write(chunk, (error) => {
      if (!error) {
        sentCount += 1;
        sendNext();
      }
    });
  };
  sendNext();
  for (let before = -1; before !== sentCount;) {
    before = sentCount;
    await pause(settlingTime);
  }
  receiver.destroy();
  sender.destroy();
  server.close();
  return sentCount * chunk.length;
}
