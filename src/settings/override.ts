/** Values from flags that go before those of the settings file. */

/** One `--set path=value`. */
export interface SettingsOverride {
  /** Names joined by dots, such as `log.level`. */
  readonly path: string;
  readonly value: unknown;
}

/** Reads `path=value`; the value is JSON where it is valid JSON, otherwise a string. Undefined without a path. */
export function parseOverride(text: string): SettingsOverride | undefined {
  const equals = text.indexOf('=');
  if (equals < 1) {
    return undefined;
  }
  return { path: text.slice(0, equals), value: parseValue(text.slice(equals + 1)) };
}

/** The value with one part replaced; objects on the way are made where they are missing. */
export function overrideValue(value: unknown, override: SettingsOverride): unknown {
  return replaceAt(value, override.path.split('.'), override.value);
}

function replaceAt(value: unknown, path: readonly string[], replacement: unknown): unknown {
  const [first, ...rest] = path;
  if (first === undefined) {
    return replacement;
  }
  const present = isObject(value) ? value : {};
  return { ...present, [first]: replaceAt(present[first], rest, replacement) };
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
