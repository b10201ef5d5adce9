import { format } from 'prettier';
import { describe, expect, it } from 'vitest';

import { resultCodeNames, resultCodes } from '../../src/common/index.js';

const introduction = `# Result codes

Every failure that a caller, an operator or a process of the system is told of has a number from this table. It is in the
JSON error a caller gets, in the refusals the command line prints and in the log lines.

This page is written from \`src/common/result-codes/\`; a test compares the two. After a change of the table run
\`npx vitest run __tests__/settings/result-codes-page.test.ts -u\`.

The **outcome** says what a code means for the caller's request:

- **not run**: it did not run and will not; sending it again is safe.
- **unknown**: it may have run. An idempotent request may be sent again; look for the effect of any other first.
- **ran**: it ran and was answered.
- **-**: the code is not about a caller's request.

**Again** says whether the same thing, sent again later, may succeed.
`;

const sections = [
  { first: 0, title: 'Success' },
  { first: 1000, title: "1xxx: the caller's request" },
  { first: 2000, title: '2xxx: attempts' },
  { first: 3000, title: '3xxx: groups and leases' },
  { first: 4000, title: '4xxx: changes by operators and reads of control' },
  { first: 5000, title: '5xxx: storage of control hosts' },
  { first: 6000, title: '6xxx: processes' },
];

const outcomeWords = { notRun: 'not run', unknown: 'unknown', ran: 'ran', notApplicable: '-' };

function renderSection(first: number, title: string): string {
  const names = resultCodeNames().filter(
    (name) => Math.floor(resultCodes[name].number / 1000) * 1000 === first,
  );
  const rows = names.map((name) => {
    const { number, httpStatus, outcome, retryable, message, advice } = resultCodes[name];
    const again = retryable ? 'yes' : 'no';
    return `| ${number} | ${name} | ${httpStatus} | ${outcomeWords[outcome]} | ${again} | ${message} | ${advice} |`;
  });
  const header = `| number | name | HTTP | outcome | again | what happened | what to do |`;
  return `## ${title}\n\n${header}\n| --- | --- | --- | --- | --- | --- | --- |\n${rows.join('\n')}\n`;
}

describe('docs/RESULT-CODES.md', () => {
  it('agrees with the table', async () => {
    const text = [introduction, ...sections.map(({ first, title }) => renderSection(first, title))];
    const page = await format(text.join('\n'), { parser: 'markdown', printWidth: 100 });
    await expect(page).toMatchFileSnapshot('../../docs/RESULT-CODES.md');
  });
});
