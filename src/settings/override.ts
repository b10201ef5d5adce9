/** Values from `--set` flags, which take precedence over the settings file. */

/** One `--set path=value` flag. */
export interface SettingsOverride {
  /** Property names joined by dots, such as `log.level`. */
  readonly path: string;
  readonly value: unknown;
}

/** Parses `path=value`. The value is parsed as JSON if it is valid JSON, and is a string otherwise. Undefined without a path. */
export function parseOverride(text: string): SettingsOverride | undefined {
  const equals = text.indexOf('=');
  if (equals < 1) {
    return undefined;
  }
  return { path: text.slice(0, equals), value: parseValue(text.slice(equals + 1)) };
}

/** Returns a copy of the value with the override applied; creates missing objects along the path. */
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
