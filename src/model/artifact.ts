/** What an engine has to load to serve: one model at one version, with adapters. */
export interface Artifact {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Whether two artifacts are the same weights and adapters, whatever the order of the adapters. */
export function isSameArtifact(left: Artifact, right: Artifact): boolean {
  return formatArtifact(left) === formatArtifact(right);
}

/** Whether what is loaded covers what is wanted: same weights and at least its adapters. */
export function isArtifactCovered(wanted: Artifact, loaded: readonly Artifact[]): boolean {
  return loaded.some(
    (candidate) =>
      candidate.model === wanted.model &&
      candidate.version === wanted.version &&
      wanted.adapters.every((adapter) => candidate.adapters.includes(adapter)),
  );
}

/** One line for logs: `model@version+adapter+adapter`. */
export function formatArtifact(artifact: Artifact): string {
  return [`${artifact.model}@${artifact.version}`, ...[...artifact.adapters].sort()].join('+');
}
