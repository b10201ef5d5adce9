/** What an engine loads in order to serve: a model at a version, with adapters. */
export interface Artifact {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Whether two artifacts have the same weights and adapters, regardless of the order of the adapters. */
export function isSameArtifact(left: Artifact, right: Artifact): boolean {
  return formatArtifact(left) === formatArtifact(right);
}

/** Whether a loaded artifact has the same weights as the wanted one and at least its adapters. */
export function isArtifactCovered(wanted: Artifact, loaded: readonly Artifact[]): boolean {
  return loaded.some(
    (candidate) =>
      candidate.model === wanted.model &&
      candidate.version === wanted.version &&
      wanted.adapters.every((adapter) => candidate.adapters.includes(adapter)),
  );
}

/** Formats an artifact for logs: `model@version+adapter+adapter`. */
export function formatArtifact(artifact: Artifact): string {
  return [`${artifact.model}@${artifact.version}`, ...[...artifact.adapters].sort()].join('+');
}
