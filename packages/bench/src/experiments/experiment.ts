import type { Policy } from '../createFleet.js';
import type { Figures, TargetResult } from '../targets.js';

/** How an experiment is run. */
export interface ExperimentOptions {
  readonly seed: number;
  readonly policies: readonly Policy[];
  /** Directory for SVG plots; null draws none. */
  readonly plotDirectory: string | null;
  /** Directory for processor profiles of the routers' processes; null takes none. */
  readonly profileDirectory: string | null;
  /** Takes text for people; not called when only JSON is wanted. */
  write(text: string): void;
}

/** What an experiment came to. */
export interface ExperimentResult {
  readonly figures: Figures;
  readonly targets: readonly TargetResult[];
}

/** Something that can be run by its name. */
export interface Experiment {
  readonly name: string;
  /** What it shows, in one line. */
  readonly summary: string;
  run(options: ExperimentOptions): Promise<ExperimentResult>;
}
