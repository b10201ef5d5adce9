/** The program of a {@link RelayProcess}: relays that a test controls over the IPC channel. It ends with that channel. */
import type { RelayCommand, RelayReply, RelayRequest, RelayResponse } from './relay-messages.js';
import { SwallowingRelay } from './relay.js';

/** Time in milliseconds between two looks at the clock. */
const tickInterval = 10;

const relays = new Map<string, SwallowingRelay>();
let longestStall = 0;
let lastTick = performance.now();

/** Counts from the start of the process on, unlike the histogram of Node.js, which leaves out the time before its second tick. */
function tick(): void {
  const now = performance.now();
  longestStall = Math.max(longestStall, now - lastTick - tickInterval);
  lastTick = now;
}

function find(address: string): SwallowingRelay {
  const relay = relays.get(address);
  if (relay === undefined) {
    throw new Error(`no relay at ${address}`);
  }
  return relay;
}

async function execute(command: RelayCommand): Promise<RelayReply> {
  switch (command.type) {
    case 'open': {
      const relay = await SwallowingRelay.open(command.target);
      const { address } = relay;
      relays.set(address, relay);
      return { type: 'opened', address };
    }
    case 'set mode':
      command.addresses.map(find).forEach((relay) => {
        relay.setMode(command.mode);
      });
      return { type: 'done' };
    case 'swallow open connections':
      command.addresses.map(find).forEach((relay) => relay.swallowOpenConnections());
      return { type: 'done' };
    case 'measure stalls':
      tick();
      return { type: 'measured', longestStall };
  }
}

async function respond({ id, command }: RelayRequest): Promise<void> {
  const reply = await execute(command).catch((error: unknown): RelayReply => ({
    type: 'failed',
    reason: String(error),
  }));
  const response: RelayResponse = { id, reply };
  process.send?.(response);
}

setInterval(tick, tickInterval);
process.on('message', (request: RelayRequest) => void respond(request));
process.on('disconnect', () => process.exit());
