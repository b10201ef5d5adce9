/** Callers of a fleet, for tests that break processes while requests are in flight. */
import { waitFor, type Fleet } from '../support/index.js';

/** The text of a streamed answer as it comes. */
export class StreamedAnswer {
  /** Resolves at the end of the answer, also of a cut one. */
  readonly ended: Promise<void>;
  readonly #word: string;
  readonly #tokens: number;
  #text = '';

  private constructor(response: Response, word: string, tokens: number) {
    this.#word = word;
    this.#tokens = tokens;
    this.ended = this.#read(response);
  }

  /** Sends the request and resolves once its answer has begun. */
  static async open(
    fleet: Fleet,
    word: string,
    tokens: number,
    gateway = 1,
  ): Promise<StreamedAnswer> {
    const response = await fleet.chat({ content: word, isStreamed: true, tokens, gateway });
    return new StreamedAnswer(response, word, tokens);
  }

  get text(): string {
    return this.#text;
  }

  /** Every token of its own, and the mark of the end. */
  get isWhole(): boolean {
    const own = this.#text.split(`${this.#word}#`).length - 1;
    return own === this.#tokens && this.#text.endsWith('data: [DONE]\n\n');
  }

  get hasErrorEvent(): boolean {
    return this.#text.includes('event: error\ndata: {"error":') && !this.#text.includes('[DONE]');
  }

  async #read(response: Response): Promise<void> {
    try {
      for await (const chunk of response.body ?? []) {
        this.#text += Buffer.from(chunk as Uint8Array).toString();
      }
    } catch {
      // A cut connection: the text then has neither its end nor an error event.
    }
  }
}

/** An answer that is not streamed. */
export interface ChatAnswer {
  readonly word: string;
  readonly status: number;
  readonly text: string;
}

/** Sends requests that are not streamed. */
export function sendChats(
  fleet: Fleet,
  count: number,
  tokens: number,
): readonly Promise<ChatAnswer>[] {
  return Array.from({ length: count }, async (_, index) => {
    const word = `whole${index}`;
    const response = await fleet.chat({ content: word, tokens });
    return { word, status: response.status, text: await response.text() };
  });
}

/** What the tests read of a group in the list of the command line. */
export interface ListedGroup {
  readonly isServing: boolean;
  /** The lead first. */
  readonly members: readonly string[];
}

export async function listGroups(fleet: Fleet): Promise<readonly ListedGroup[]> {
  const { output } = await fleet.runCommand(['groups', '--json']);
  return (JSON.parse(output) as { readonly groups: readonly ListedGroup[] }).groups;
}

/** The host that leads the first group of the list. */
export async function findLead(fleet: Fleet): Promise<string> {
  return waitFor('a group in the list', async () => (await listGroups(fleet))[0]?.members[0]);
}
