//! SVG plot of lost worth over time.

use crate::error::{Error, Result};
use crate::losses::{LossReport, WINDOW_S};
use plotters::prelude::*;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (1_000, 420);
/// Space for the labels of each axis, in pixels.
const LABEL_AREA_PX: u32 = 44;

/// Draws a stacked bar for each window: the lost share of its worth, by cause.
///
/// # Errors
/// [`Error::Failed`] with the file name if the plot cannot be written.
pub(crate) fn losses(losses: &LossReport, path: &str) -> Result<()> {
    let plot_error = |why: String| {
        let what = format!("cannot write the plot {path}: {why}; name a writable file");
        Error::Failed(what.into())
    };
    draw(losses, path).map_err(|error| plot_error(error.to_string()))
}

fn draw(losses: &LossReport, path: &str) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let end = losses.windows.keys().max().map_or(0, |last| last + WINDOW_S);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .caption("lost worth by cause and time of acceptance", ("sans-serif", 18))
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0..end.max(1), 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds from the first job")
        .y_desc("share of the worth")
        .draw()?;
    for (index, cause) in losses.all.lost_by_cause.keys().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let bars = losses.windows.iter().map(|(start, window)| {
            // Share lost to the causes below this one in the stack, or up to and including it.
            let stacked_share = |inclusive: bool| -> f64 {
                let stacked = window
                    .lost_by_cause
                    .iter()
                    .filter(|(name, _)| if inclusive { *name <= cause } else { *name < cause });
                stacked.map(|(_, lost)| lost).sum::<f64>() / window.worth.max(1e-9)
            };
            Rectangle::new(
                [(*start, stacked_share(false)), (*start + WINDOW_S, stacked_share(true))],
                colour.filled(),
            )
        });
        chart
            .draw_series(bars)?
            .label(&**cause)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
