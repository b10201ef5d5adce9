/** Returns a function that computes the value for each argument once; for readings at one moment. */
export function memoize<Value>(compute: (argument: string) => Value): (argument: string) => Value {
  const known = new Map<string, Value>();
  return (argument) => {
    const value = known.get(argument) ?? compute(argument);
    known.set(argument, value);
    return value;
  };
}
