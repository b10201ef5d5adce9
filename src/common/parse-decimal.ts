/** Few enough digits before the point for a finite number in any unit. Those behind it may be as many as the sender writes. */
const decimal = /^\d{1,15}(?:\.\d+)?$/;

/** Parses a non-negative decimal without an exponent; undefined for anything else. */
export function parseDecimal(text: string): number | undefined {
  return decimal.test(text) ? Number(text) : undefined;
}
