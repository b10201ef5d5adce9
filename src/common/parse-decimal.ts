/** Few enough digits for a finite number. */
const decimal = /^\d{1,15}(?:\.\d{1,15})?$/;

/** Parses a non-negative decimal without an exponent; undefined for anything else. */
export function parseDecimal(text: string): number | undefined {
  return decimal.test(text) ? Number(text) : undefined;
}
