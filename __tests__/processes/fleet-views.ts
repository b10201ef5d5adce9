/** What the operators' command line says of a fleet. */
import type { GroupsView, GroupView } from '../../src/control/state/index.js';
import { waitFor, type Fleet } from '../support/index.js';

interface ControlHostView {
  readonly address: string;
  readonly view?: { readonly name: string; readonly role: string; readonly revision: number };
}

export interface InForceView {
  readonly revision: number;
  readonly watchers: readonly { readonly watcher: string; readonly revision: number }[];
  readonly control: readonly ControlHostView[];
}

/** Runs a command that reads, with `--json`. */
export async function readView<View>(
  fleet: Fleet,
  commandArguments: readonly string[],
): Promise<View> {
  const { exit, output } = await fleet.runCommand([...commandArguments, '--json']);
  if (exit.code !== 0) {
    throw new Error(output);
  }
  return JSON.parse(output) as View;
}

export function readInForce(fleet: Fleet): Promise<InForceView> {
  return readView<InForceView>(fleet, ['get', '--in-force']);
}

/** Polls until so many groups serve and nothing else is placed. */
export function waitForGroups(fleet: Fleet, count: number): Promise<readonly GroupView[]> {
  return waitFor(`${count} groups to serve`, async () => {
    const { groups } = await readView<GroupsView>(fleet, ['groups']);
    const areServing = groups.every(({ isServing, isDraining }) => isServing && !isDraining);
    return groups.length === count && areServing ? groups : undefined;
  });
}

/** Polls until every watcher and every control host has the revision, or a later one. */
export function waitForInForce(fleet: Fleet, revision: number): Promise<InForceView> {
  return waitFor(`revision ${revision} to be in force everywhere`, async () => {
    const view = await readInForce(fleet);
    const watchers = view.watchers.filter((watcher) => watcher.revision < revision);
    const control = view.control.filter((host) => (host.view?.revision ?? 0) < revision);
    if (watchers.length + control.length > 0) {
      throw new Error(`behind: ${JSON.stringify({ watchers, control })}`);
    }
    return view;
  });
}

/** Name of the control host that leads. */
export function findLeader(fleet: Fleet): Promise<string> {
  return waitFor('a control leader', async () => {
    const { control } = await readInForce(fleet);
    return control.find(({ view }) => view?.role === 'leader')?.view?.name;
  });
}
