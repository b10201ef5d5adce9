/** Labels and the selectors that match them. */

/** Labels of a host or a client account. */
export type Labels = Readonly<Record<string, string>>;

/** Matches labels: every key listed must have one of the values listed for it; `{}` matches everything. */
export type Selector = Readonly<Record<string, readonly string[]>>;

/** Whether the labels match the selector. */
export function isSelected(labels: Labels, selector: Selector): boolean {
  return Object.entries(selector).every(([key, values]) => {
    const value = labels[key];
    return value !== undefined && values.includes(value);
  });
}
