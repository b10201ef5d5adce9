import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  decodeSnapshot,
  encodeSnapshot,
  initialControlState,
  stampEvacuationOrder,
  turnInterval,
  type Command,
  type CommandAnswer,
  type ControlState,
  type EvacuationAction,
} from '../../src/control/state/index.js';

/** A control host that has applied all commands; an order may carry the stamp of an earlier state. */
class Control {
  state: ControlState = initialControlState;

  stamp(action: EvacuationAction, failureDomain = 'a'): number {
    return stampEvacuationOrder(this.state.routing, { failureDomain, action });
  }

  order(
    action: EvacuationAction,
    at: number,
    stamp = this.stamp(action),
    failureDomain = 'a',
  ): CommandAnswer {
    const command: Command = { type: 'setEvacuation', at, failureDomain, action, stamp };
    const { state, answer } = applyCommand(this.state, command);
    this.state = state;
    return answer;
  }

  get evacuated(): readonly string[] {
    return [...this.state.routing.evacuations.keys()];
  }
}

const changed = { type: 'evacuationSet', isChanged: true };
const unchanged = { type: 'evacuationSet', isChanged: false };

function refused(code: string): object {
  return { type: 'refused', failure: { code } };
}

describe('orders to start and end evacuations', () => {
  // Guards against an acknowledged evacuation that is missing from the state, or that names another time than that of its command.
  it('start and end an evacuation', () => {
    const control = new Control();
    expect(control.order('start', 100)).toEqual(changed);
    expect(control.state.routing.evacuations.get('a')).toEqual({
      failureDomain: 'a',
      startedAt: 100,
    });
    expect(control.order('end', 200)).toEqual(changed);
    expect(control.evacuated).toEqual([]);
  });

  // Guards against an operator whose answer was lost and who is refused, or restarts the evacuation, by sending the order again.
  it('are acknowledged again and change nothing when they are resent', () => {
    const control = new Control();
    control.order('start', 100);
    const { routing } = control.state;
    expect(control.order('start', 1100)).toEqual(unchanged);
    expect(control.state.routing).toBe(routing);
    control.order('end', 5000);
    const after = control.state.routing;
    expect(control.order('end', 6000)).toEqual(unchanged);
    expect(control.state.routing).toBe(after);
  });

  // Guards against refusing an operator who ends an evacuation that another one has ended, or that never began.
  it('to end are acknowledged without a start', () => {
    const control = new Control();
    expect(control.order('end', 100)).toEqual(unchanged);
    expect(control.state.routing).toBe(initialControlState.routing);
  });

  // Guards against an evacuation that ends while another domain's does, and against counting the orders of all domains together.
  it('affect only their own domain', () => {
    const control = new Control();
    control.order('start', 100, 0, 'a');
    control.order('start', 200, 0, 'b');
    control.order('end', 300, control.stamp('end', 'b'), 'b');
    expect(control.evacuated).toEqual(['a']);
    expect(control.stamp('start', 'a')).toBe(0);
    expect(control.stamp('start', 'b')).toBe(1);
  });
});

describe('delayed orders', () => {
  // Guards against a start that was held up between two control hosts and evacuates the domain again after the operator ended that.
  it('to start change nothing once the evacuation has ended', () => {
    const control = new Control();
    const stamp = control.stamp('start');
    control.order('start', 100);
    control.order('end', 200);
    expect(control.order('start', 60_000, stamp)).toMatchObject(refused('evacuationOutdated'));
    expect(control.evacuated).toEqual([]);
  });

  // Guards against an end of the first evacuation that arrives during the second and sends requests to a domain that was acknowledged as evacuated.
  it('to end change nothing once another evacuation has started', () => {
    const control = new Control();
    control.order('start', 100);
    const stamp = control.stamp('end');
    control.order('end', 200);
    control.order('start', 5000);
    expect(control.order('end', 60_000, stamp)).toMatchObject(refused('evacuationOutdated'));
    expect(control.evacuated).toEqual(['a']);
  });

  // Guards against a duplicate from the network, stamped on arrival, that starts an evacuation right after its end.
  it('to start are refused for a while after the end, with the time that is left', () => {
    const control = new Control();
    control.order('start', 100);
    control.order('end', 10_000);
    const early = control.order('start', 10_000 + turnInterval - 1);
    expect(early).toMatchObject(refused('evacuationTooSoon'));
    expect(early).toMatchObject({ failure: { retryAfterMilliseconds: 1 } });
    expect(control.evacuated).toEqual([]);
    expect(control.order('start', 10_000 + turnInterval)).toEqual(changed);
  });

  // Guards against a duplicate from the network that ends the second evacuation right after its start.
  it('to end are refused for a while after the second start', () => {
    const control = new Control();
    control.order('start', 0);
    control.order('end', 10_000);
    control.order('start', 20_000);
    expect(control.order('end', 21_999)).toMatchObject(refused('evacuationTooSoon'));
    expect(control.evacuated).toEqual(['a']);
    expect(control.order('end', 22_000)).toEqual(changed);
  });

  // Guards against an operator who can't take back a first evacuation at once, although no earlier end can be on its way.
  it('to end are not expected right after the first start', () => {
    const control = new Control();
    control.order('start', 100);
    expect(control.order('end', 101)).toEqual(changed);
  });

  // Guards against orders that are refused until a clock has caught up: the new leader's clock is an hour behind that of the last one.
  it('are not expected after an order that carries a later time', () => {
    const control = new Control();
    control.order('start', 3_600_000);
    control.order('end', 3_601_000);
    expect(control.order('start', 0)).toEqual(changed);
  });
});

describe('evacuations in snapshots', () => {
  // Guards against a control host that restarts and no longer knows an acknowledged evacuation, or accepts a delayed start again.
  it('are kept, with the number of orders', () => {
    const control = new Control();
    control.order('start', 100);
    control.order('end', 200);
    control.order('start', 5000);
    const before = control.state.routing;
    control.state = decodeSnapshot(encodeSnapshot(control.state));
    expect(control.state.routing).toEqual(before);
    expect(control.order('start', 60_000)).toEqual(unchanged);
    expect(control.order('end', 60_000, 1)).toMatchObject(refused('evacuationOutdated'));
  });

  // Guards against a control host that refuses the snapshot that its previous version wrote, which has no field of evacuations.
  it('may be absent, as in those of earlier versions', () => {
    const text = encodeSnapshot(initialControlState);
    expect(text).not.toContain('evacuation');
    expect(decodeSnapshot(text).routing).toEqual(initialControlState.routing);
  });

  // Guards against an upgrade in which control hosts of the previous version refuse the snapshots of the new one, and against a delayed
  // start that is carried out because the number of orders was left out once no evacuation was in force.
  it('are left out only if there has never been an evacuation', () => {
    const control = new Control();
    control.order('end', 0);
    expect(encodeSnapshot(control.state)).not.toContain('evacuation');
    control.order('start', 100);
    control.order('end', 200);
    control.state = decodeSnapshot(encodeSnapshot(control.state));
    expect(control.order('start', 60_000, 0)).toMatchObject(refused('evacuationOutdated'));
  });
});
